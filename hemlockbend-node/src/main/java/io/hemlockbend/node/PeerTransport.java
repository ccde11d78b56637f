package io.hemlockbend.node;

import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.node.settings.NodeSettings;
import io.hemlockbend.wire.FrameCodec;
import io.hemlockbend.wire.PeerConnections;
import io.hemlockbend.wire.PeerListener;
import io.hemlockbend.wire.WireCounters;
import io.hemlockbend.wire.WireException;
import io.hemlockbend.wire.WireSettings;
import java.net.InetSocketAddress;

/** The listener and the outgoing connections for control messages. */
final class PeerTransport implements AutoCloseable {
  private final WireCounters counters = new WireCounters();
  private final ControlBinding binding = new ControlBinding();
  private final PeerConnections connections;
  private final PeerListener listener;

  /**
   * Opens the listener; messages are dropped until {@link #binding()} is bound.
   *
   * @throws NodeException if the address cannot be bound
   */
  PeerTransport(NodeSettings settings) {
    WireSettings wire = WireSettings.DEFAULT;
    FrameCodec frames = new FrameCodec(new MessagePackCodec(), wire.maxFrameBytes());
    connections = new PeerConnections(wire, frames, counters);
    InetSocketAddress address = new InetSocketAddress(settings.host(), settings.controlPort());
    try {
      listener = new PeerListener(address, wire, frames, counters, binding);
    } catch (WireException e) {
      throw new NodeException("cannot listen on " + address + " for control messages", e);
    }
  }

  WireCounters counters() {
    return counters;
  }

  ControlBinding binding() {
    return binding;
  }

  PeerConnections connections() {
    return connections;
  }

  int port() {
    return listener.port();
  }

  @Override
  public void close() {
    listener.close();
    connections.close();
  }
}
