package io.hemlockbend.core.retry;

/**
 * Limits the retries of one entry to one service to a share of its calls, so that a fault adds a
 * bounded load. It is a token bucket: each call adds a fraction of a token, the floor rate adds
 * more over time, and each retry takes one. Not thread-safe; guarded by the lock of its service.
 */
public final class RetryBudget {
  /** Default share of calls that may be retried. */
  public static final double DEFAULT_SHARE = 0.1;

  /** Default number of retries per second that are allowed regardless of the number of calls. */
  public static final double DEFAULT_FLOOR_PER_SECOND = 1;

  /** Default capacity of the token bucket, in retries. */
  public static final double DEFAULT_CAPACITY = 20;

  private static final double MILLIS_PER_SECOND = 1000;

  private final double share;
  private final double floorPerSecond;
  private final double capacity;
  private double tokens;
  private long refilledMillis;

  /**
   * Creates a budget that starts with one second of its floor rate.
   *
   * @param share share of calls that may be retried, 0 to 1
   * @param floorPerSecond retries per second that are allowed regardless of the number of calls
   * @param nowMillis the time
   */
  public RetryBudget(double share, double floorPerSecond, long nowMillis) {
    this(share, floorPerSecond, DEFAULT_CAPACITY, nowMillis);
  }

  /**
   * Creates a budget that starts with one second of its floor rate.
   *
   * @param share share of calls that may be retried, 0 to 1
   * @param floorPerSecond retries per second that are allowed regardless of the number of calls
   * @param capacity capacity of the token bucket, in retries; raised to 1 if less
   * @param nowMillis the time
   */
  public RetryBudget(double share, double floorPerSecond, double capacity, long nowMillis) {
    this.share = share;
    this.capacity = Math.max(1, capacity);
    this.floorPerSecond = floorPerSecond;
    this.tokens = floorPerSecond;
    this.refilledMillis = nowMillis;
  }

  /** Records a call of a caller; retries are not recorded. */
  public void recordCall() {
    tokens = Math.min(capacity, tokens + share);
  }

  /** Takes one retry from the budget; returns false if it is exhausted. */
  public boolean tryAcquire(long nowMillis) {
    refill(nowMillis);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  private void refill(long nowMillis) {
    if (nowMillis > refilledMillis) {
      double added = (nowMillis - refilledMillis) * floorPerSecond / MILLIS_PER_SECOND;
      tokens = Math.min(capacity, tokens + added);
      refilledMillis = nowMillis;
    }
  }
}
