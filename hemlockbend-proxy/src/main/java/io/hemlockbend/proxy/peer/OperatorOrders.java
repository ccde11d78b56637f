package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.VersionKey;
import java.util.List;
import java.util.Set;

/**
 * The operator's orders beside the configuration, as the store held them at one moment.
 *
 * @param version the store's version then; a greater one is newer
 * @param withdrawn the failure domains whose upstreams take no work
 * @param moves the moves of traffic, the newest of each service
 * @param takenBack the versions that earlier moves found bad
 */
public record OperatorOrders(
    long version, Set<FailureDomain> withdrawn, List<MoveOrder> moves, Set<VersionKey> takenBack) {
  /** No orders are known. */
  public static final OperatorOrders NONE = new OperatorOrders(-1, Set.of(), List.of(), Set.of());

  /** Copies the collections. */
  public OperatorOrders {
    withdrawn = Set.copyOf(withdrawn);
    moves = List.copyOf(moves);
    takenBack = Set.copyOf(takenBack);
  }
}
