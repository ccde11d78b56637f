package io.hemlockbend.core.message;

import io.hemlockbend.core.api.NodeAddress;

/**
 * A message to be sent by the transport, which may lose, delay, duplicate or reorder it.
 *
 * @param to the control address of the receiver
 * @param message the message
 */
public record Outbound(NodeAddress to, PeerMessage message) {}
