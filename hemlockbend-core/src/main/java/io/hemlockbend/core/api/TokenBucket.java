package io.hemlockbend.core.api;

/** Bounds how often something is done: a burst at once, and a steady rate after it. */
public final class TokenBucket {
  private final int burst;
  private final long refillMillis;
  private int tokens;
  private long refilledMillis;

  /**
   * Makes a full bucket.
   *
   * @param burst how many may be taken at once
   * @param refillMillis how long it takes until one more may be taken
   */
  public TokenBucket(int burst, long refillMillis) {
    this.burst = burst;
    this.refillMillis = refillMillis;
    this.tokens = burst;
  }

  /** Takes a token; returns false when there is none. */
  public boolean take(long nowMillis) {
    long earned = Math.max(0, (nowMillis - refilledMillis) / refillMillis);
    if (earned > 0) {
      tokens = (int) Math.min(burst, tokens + earned);
      refilledMillis = nowMillis;
    }
    if (tokens == 0) {
      return false;
    }
    tokens--;
    return true;
  }
}
