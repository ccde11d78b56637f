package io.hemlockbend.core.message;

import io.hemlockbend.core.api.NodeAddress;

/**
 * A message that the core wants sent; it may be lost, late, doubled or out of order.
 *
 * @param to the control address of the receiver
 * @param message the message
 */
public record Outbound(NodeAddress to, PeerMessage message) {}
