package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.distribution.StoreVersion;
import java.util.List;
import java.util.Set;

/**
 * A snapshot of the operator's orders, which the store keeps beside the configuration.
 *
 * @param version the version of the snapshot in the store
 * @param withdrawn the failure domains whose upstreams get no work
 * @param moves the traffic moves, the newest of each service
 * @param takenBack the versions that earlier moves found bad
 */
public record OperatorOrders(
    StoreVersion version,
    Set<FailureDomain> withdrawn,
    List<MoveOrder> moves,
    Set<VersionKey> takenBack) {
  /** No orders are known. */
  public static final OperatorOrders NONE =
      new OperatorOrders(StoreVersion.NONE, Set.of(), List.of(), Set.of());

  /** Copies the collections. */
  public OperatorOrders {
    withdrawn = Set.copyOf(withdrawn);
    moves = List.copyOf(moves);
    takenBack = Set.copyOf(takenBack);
  }
}
