package io.hemlockbend.core.api;

/** A token bucket rate limiter: allows a burst, then a steady rate. */
public final class TokenBucket {
  private final int burst;
  private final long refillMillis;
  private int tokens;
  private long lastRefillMillis;

  /**
   * Creates a full bucket.
   *
   * @param burst the capacity in tokens
   * @param refillMillis the time to refill one token
   */
  public TokenBucket(int burst, long refillMillis) {
    this.burst = burst;
    this.refillMillis = refillMillis;
    this.tokens = burst;
  }

  /** Takes a token; returns false when the bucket is empty. */
  public boolean tryAcquire(long nowMillis) {
    long refill = Math.max(0, (nowMillis - lastRefillMillis) / refillMillis);
    if (refill > 0) {
      tokens = (int) Math.min(burst, tokens + refill);
      lastRefillMillis = nowMillis;
    }
    if (tokens == 0) {
      return false;
    }
    tokens--;
    return true;
  }
}
