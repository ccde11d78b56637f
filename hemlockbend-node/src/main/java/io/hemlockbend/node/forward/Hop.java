package io.hemlockbend.node.forward;

import io.hemlockbend.core.api.NodeAddress;

/**
 * The next hop of a request and its time-outs.
 *
 * @param to the address of the next hop
 * @param internal whether the next hop is a node, whose mesh header fields in answers count
 * @param firstByteMillis longest wait for the first byte of the answer
 * @param totalMillis longest wait for the complete answer
 */
public record Hop(NodeAddress to, boolean internal, long firstByteMillis, long totalMillis) {}
