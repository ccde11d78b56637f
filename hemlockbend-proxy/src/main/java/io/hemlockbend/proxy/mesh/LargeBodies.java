package io.hemlockbend.proxy.mesh;

/** Counts of the large bodies that came from other nodes; used on the event loop's thread. */
public final class LargeBodies {
  private long count;
  private long bytes;
  private long millis;

  void received(long bodyBytes, long tookMillis) {
    count++;
    bytes += bodyBytes;
    millis += tookMillis;
  }

  /** Returns how many came. */
  public long count() {
    return count;
  }

  /** Returns how many bytes they had. */
  public long bytes() {
    return bytes;
  }

  /** Returns how long they took from their first byte to their last, in milliseconds. */
  public long millis() {
    return millis;
  }
}
