package io.hemlockbend.node.forward;

import io.hemlockbend.core.api.NodeAddress;

/**
 * Where a request goes next and how long it may take.
 *
 * @param to the listener
 * @param inside whether the listener is another node's, whose mesh header fields count
 * @param firstByteMillis longest wait for the first byte of the answer
 * @param totalMillis longest wait for the whole answer
 */
public record Hop(NodeAddress to, boolean inside, long firstByteMillis, long totalMillis) {}
