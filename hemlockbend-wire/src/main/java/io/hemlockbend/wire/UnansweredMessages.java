package io.hemlockbend.wire;

import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.Ack;
import io.hemlockbend.core.message.PeerMessage.Join;
import io.hemlockbend.core.message.PeerMessage.Members;
import io.hemlockbend.core.message.PeerMessage.Ping;
import java.util.LinkedHashMap;

/**
 * The messages sent over a connection that the peer has not answered. Only an answer to one of them
 * proves that the connection carries: the peer's own pings come over another one, and an answer
 * that a third node passes on has a number of its own. Safe for use by several threads.
 */
final class OwedAnswers {
  private static final int KEPT = 64;
  private static final long JOIN = 0;

  private final LinkedHashMap<Long, Long> sentNanos = new LinkedHashMap<>();

  synchronized void sent(PeerMessage message, long nowNanos) {
    switch (message) {
      case Ping ping when ping.sequence() != 0 -> note(ping.sequence(), nowNanos);
      case Join join -> note(JOIN, nowNanos);
      default -> {
        // Nobody answers this message, or not always.
      }
    }
  }

  private void note(long number, long nowNanos) {
    if (sentNanos.size() < KEPT) {
      sentNanos.putIfAbsent(number, nowNanos);
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

  /** Returns whether a message waits for its answer for as long as the bound. */
  synchronized boolean waitsLongerThan(long boundNanos, long nowNanos) {
    return !sentNanos.isEmpty() && nowNanos - sentNanos.firstEntry().getValue() >= boundNanos;
  }
}
