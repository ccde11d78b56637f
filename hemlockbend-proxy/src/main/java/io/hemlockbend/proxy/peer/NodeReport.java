package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.core.traffic.UpstreamRecord;
import java.util.List;

/**
 * The state that a node reports to the others.
 *
 * @param node the node that reports; not the one dialed when the address now belongs to another
 * @param configurationVersion the version of the configuration in force there; -1 when there is
 *     none
 * @param ordersVersion the version of the operator's orders known there
 * @param carriedOrders the number of orders known there that the restored store lacks
 * @param leaving whether the node is shutting down
 * @param storeReachable whether it reaches the platform's store
 * @param upstream the record of its upstream, or null when it has none
 * @param load the load of its upstream
 * @param routeCounts the request counts of its upstream, by route
 * @param moves the shares that it decided or received
 */
public record NodeReport(
    NodeId node,
    long configurationVersion,
    StoreVersion ordersVersion,
    int carriedOrders,
    boolean leaving,
    boolean storeReachable,
    UpstreamRecord upstream,
    UpstreamLoad load,
    List<RouteCounts> routeCounts,
    List<MoveShare> moves) {
  /** Copies the lists. */
  public NodeReport {
    routeCounts = List.copyOf(routeCounts);
    moves = List.copyOf(moves);
  }
}
