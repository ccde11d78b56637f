package io.hemlockbend.wire;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts messages, bytes and errors of the connections between nodes; thread-safe. */
public final class WireCounters {
  private final LongAdder bytesIn = new LongAdder();
  private final LongAdder bytesOut = new LongAdder();
  private final LongAdder messagesIn = new LongAdder();
  private final LongAdder messagesOut = new LongAdder();
  private final LongAdder dropped = new LongAdder();
  private final LongAdder refusedConnections = new LongAdder();
  private final LongAdder reopened = new LongAdder();
  private final Map<WireException.Kind, LongAdder> errors = new EnumMap<>(WireException.Kind.class);

  /** Creates counters that start at zero. */
  public WireCounters() {
    for (WireException.Kind kind : WireException.Kind.values()) {
      errors.put(kind, new LongAdder());
    }
  }

  void received(int bytes) {
    bytesIn.add(bytes);
    messagesIn.increment();
  }

  void sent(int bytes) {
    bytesOut.add(bytes);
    messagesOut.increment();
  }

  void drop() {
    dropped.increment();
  }

  void refuseConnection() {
    refusedConnections.increment();
  }

  void reopen() {
    reopened.increment();
  }

  void error(WireException.Kind kind) {
    errors.get(kind).increment();
  }

  /** Returns the bytes of all frames read. */
  public long bytesIn() {
    return bytesIn.sum();
  }

  /** Returns the bytes of all frames written. */
  public long bytesOut() {
    return bytesOut.sum();
  }

  /** Returns how many messages were read. */
  public long messagesIn() {
    return messagesIn.sum();
  }

  /** Returns how many messages were written. */
  public long messagesOut() {
    return messagesOut.sum();
  }

  /** Returns how many messages were dropped unsent: the queue was full or the connection failed. */
  public long dropped() {
    return dropped.sum();
  }

  /** Returns how many incoming connections were refused because too many were open. */
  public long refusedConnections() {
    return refusedConnections.sum();
  }

  /** Returns how many connections were reopened because the peer did not answer in time. */
  public long reopened() {
    return reopened.sum();
  }

  /** Returns how many errors of this kind occurred. */
  public long errors(WireException.Kind kind) {
    return errors.get(kind).sum();
  }
}
