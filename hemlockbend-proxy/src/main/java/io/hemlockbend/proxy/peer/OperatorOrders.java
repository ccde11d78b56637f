package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.FailureDomain;
import java.util.List;
import java.util.Set;

/**
 * The operator's orders beside the configuration, as the store held them at one moment.
 *
 * @param version the store's version then; a greater one is newer
 * @param withdrawn the failure domains whose upstreams take no work
 * @param moves the moves of traffic, the newest of each service
 */
public record OperatorOrders(long version, Set<FailureDomain> withdrawn, List<MoveOrder> moves) {
  /** No orders are known. */
  public static final OperatorOrders NONE = new OperatorOrders(-1, Set.of(), List.of());

  /** Copies the collections. */
  public OperatorOrders {
    withdrawn = Set.copyOf(withdrawn);
    moves = List.copyOf(moves);
  }
}
