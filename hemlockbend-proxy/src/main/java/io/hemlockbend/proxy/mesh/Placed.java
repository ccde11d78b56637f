package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.traffic.UpstreamRecord;

/**
 * Where a request goes.
 *
 * @param node the node beside the upstream
 * @param peer the other node, or null when it is this one
 * @param upstream the upstream
 */
record Placed(NodeId node, Peer peer, UpstreamRecord upstream) {}
