package io.hemlockbend.wire;

import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Sends messages to other nodes over one connection per peer. Sending never blocks: a message is
 * dropped and counted when its queue is full or its connection fails.
 *
 * <p>A connection can stop delivering while new ones to the same peer work. When the peer has not
 * answered a message within the answer time-out, the next message opens a new connection.
 */
public final class PeerConnections implements AutoCloseable {
  private final WireSettings settings;
  private final FrameCodec frames;
  private final WireCounters counters;
  private final Map<NodeAddress, PeerLink> links = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Creates an empty set of connections.
   *
   * @param settings limits and time-outs
   * @param frames encodes messages
   * @param counters counts outgoing messages and errors
   */
  public PeerConnections(WireSettings settings, FrameCodec frames, WireCounters counters) {
    this.settings = settings;
    this.frames = frames;
    this.counters = counters;
  }

  /** Queues a message for its receiver; must be called by a single thread. */
  public void send(Outbound outbound) {
    if (closed) {
      counters.drop();
      return;
    }
    PeerLink link = links.get(outbound.to());
    if (link != null && link.answerOverdue()) {
      counters.reopen();
      remove(outbound.to(), link);
      link = null;
    }
    if (link == null || !link.offer(outbound.message())) {
      open(outbound.to(), outbound.message());
    }
  }

  /**
   * Records a message from a peer. An answer to a message that was sent to the peer shows that the
   * connection delivers.
   *
   * @param peer the control address of the sender
   * @param message the message
   */
  public void messageReceived(NodeAddress peer, PeerMessage message) {
    PeerLink link = links.get(peer);
    if (link != null) {
      link.messageReceived(message);
    }
  }

  /** Returns the number of connections, including those being opened. */
  public int size() {
    return links.size();
  }

  @Override
  public void close() {
    closed = true;
    links.forEach(this::remove);
  }

  private void open(NodeAddress peer, PeerMessage message) {
    if (links.size() >= settings.maxOutgoing()) {
      links.entrySet().stream()
          .min(Comparator.comparingLong(entry -> entry.getValue().lastOfferNanos()))
          .ifPresent(
              leastRecentlyUsed ->
                  remove(leastRecentlyUsed.getKey(), leastRecentlyUsed.getValue()));
    }
    PeerLink link =
        new PeerLink(peer, settings, frames, counters, ended -> links.remove(peer, ended));
    // Queued before the start: a refused connect may end the link at once.
    link.offer(message);
    links.put(peer, link);
    link.start();
  }

  private void remove(NodeAddress peer, PeerLink link) {
    links.remove(peer, link);
    link.close();
  }
}
