package io.hemlockbend.wire;

import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.Ack;
import io.hemlockbend.core.message.PeerMessage.Join;
import io.hemlockbend.core.message.PeerMessage.Members;
import io.hemlockbend.core.message.PeerMessage.Ping;
import java.util.LinkedHashMap;

/**
 * The messages sent over a connection that the peer has not answered. Only an answer to one of them
 * proves that the connection delivers: the peer's own pings arrive over another connection, and an
 * ack relayed by a third node has a sequence number of its own. Thread-safe.
 */
final class UnansweredMessages {
  private static final int MAX_MESSAGES = 64;
  private static final long JOIN_SEQUENCE = 0;

  private final LinkedHashMap<Long, Long> sentNanos = new LinkedHashMap<>();

  synchronized void sent(PeerMessage message, long nowNanos) {
    switch (message) {
      case Ping ping when ping.sequence() != 0 -> add(ping.sequence(), nowNanos);
      case Join join -> add(JOIN_SEQUENCE, nowNanos);
      default -> {
        // Other messages are not answered, or not always.
      }
    }
  }

  private void add(long sequence, long nowNanos) {
    if (sentNanos.size() < MAX_MESSAGES) {
      sentNanos.putIfAbsent(sequence, nowNanos);
    }
  }

  synchronized void received(PeerMessage message) {
    boolean answers =
        switch (message) {
          case Ack ack -> sentNanos.containsKey(ack.sequence());
          case Members members -> true;
          default -> false;
        };
    if (answers) {
      sentNanos.clear();
    }
  }

  /** Returns whether a message has been unanswered for at least the time-out. */
  synchronized boolean overdue(long timeoutNanos, long nowNanos) {
    return !sentNanos.isEmpty() && nowNanos - sentNanos.firstEntry().getValue() >= timeoutNanos;
  }
}
