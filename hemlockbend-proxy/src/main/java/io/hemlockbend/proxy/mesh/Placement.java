package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.traffic.UpstreamRecord;

/**
 * The upstream chosen for a request.
 *
 * @param node the node beside the upstream
 * @param peer the state of that node, or null if it is this node
 * @param upstream the upstream
 */
record Placement(NodeId node, Peer peer, UpstreamRecord upstream) {}
