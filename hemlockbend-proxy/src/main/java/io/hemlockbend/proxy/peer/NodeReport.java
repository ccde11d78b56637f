package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.traffic.UpstreamRecord;
import java.util.List;

/**
 * What a node tells the others about itself.
 *
 * @param node the node that reports; not the one dialed where an address has passed to another
 * @param configurationVersion the configuration in force there; -1 without one
 * @param ordersVersion the operator's orders known there; -1 without any
 * @param leaving whether the node stops
 * @param storeReachable whether it reaches the platform's store
 * @param upstream what its upstream says of itself, or null when it has none
 * @param load how loaded its upstream is
 * @param counts what its upstream did, by route
 * @param moves the shares that it decided on or heard of
 */
public record NodeReport(
    NodeId node,
    long configurationVersion,
    long ordersVersion,
    boolean leaving,
    boolean storeReachable,
    UpstreamRecord upstream,
    UpstreamLoad load,
    List<RouteCounts> counts,
    List<MoveShare> moves) {
  /** Copies the lists. */
  public NodeReport {
    counts = List.copyOf(counts);
    moves = List.copyOf(moves);
  }
}
