package io.hemlockbend.wire;

import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Sends messages to other nodes, over one connection for each. Sending never blocks: a message that
 * finds its queue full, or whose connection fails, is dropped and counted.
 *
 * <p>A connection can go silent while new ones to the same peer work. The peer's own answers
 * decide: when it owes one for longer than the bound, the next message goes over a new connection.
 */
public final class PeerConnections implements AutoCloseable {
  private final WireSettings settings;
  private final FrameCodec frames;
  private final WireCounters counters;
  private final Map<NodeAddress, PeerLink> links = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Makes connections, none of them open.
   *
   * @param settings bounds
   * @param frames writes messages
   * @param counters counts what goes out
   */
  public PeerConnections(WireSettings settings, FrameCodec frames, WireCounters counters) {
    this.settings = settings;
    this.frames = frames;
    this.counters = counters;
  }

  /** Queues a message for its receiver; called by one thread. */
  public void send(Outbound outbound) {
    if (closed) {
      counters.drop();
      return;
    }
    PeerLink link = links.get(outbound.to());
    if (link != null && link.silent()) {
      counters.reopen();
      forget(outbound.to(), link);
      link = null;
    }
    if (link == null || !link.offer(outbound.message())) {
      open(outbound.to()).offer(outbound.message());
    }
  }

  /**
   * Notes a message of this peer; when it answers one that was sent to it, the connection is good.
   *
   * @param peer the control address of the message's sender
   * @param message the message
   */
  public void heardFrom(NodeAddress peer, PeerMessage message) {
    PeerLink link = links.get(peer);
    if (link != null) {
      link.heard(message);
    }
  }

  /** Returns how many connections are kept. */
  public int size() {
    return links.size();
  }

  @Override
  public void close() {
    closed = true;
    links.forEach(this::forget);
  }

  private PeerLink open(NodeAddress peer) {
    if (links.size() >= settings.maxOutgoing()) {
      links.entrySet().stream()
          .min(Comparator.comparingLong(entry -> entry.getValue().lastOfferNanos()))
          .ifPresent(idlest -> forget(idlest.getKey(), idlest.getValue()));
    }
    PeerLink link =
        new PeerLink(peer, settings, frames, counters, ended -> links.remove(peer, ended));
    links.put(peer, link);
    link.start();
    return link;
  }

  private void forget(NodeAddress peer, PeerLink link) {
    links.remove(peer, link);
    link.close();
  }
}
