package io.hemlockbend.core.retry;

/**
 * Bounds the retries of one entry to one service to a share of its calls, so that a fault adds a
 * bounded share of load. A token bucket: each call adds a part of a token, time adds a few, and
 * each retry takes a whole one. Driven under the lock of its service by traffic threads.
 */
public final class RetryBudget {
  /** The usual share of calls that may be tried again. */
  public static final double DEFAULT_SHARE = 0.1;

  /** The usual number of retries a second that are allowed however few calls there are. */
  public static final double DEFAULT_FLOOR_PER_SECOND = 1;

  /** The usual number of retries that may be saved up. */
  public static final double DEFAULT_CAPACITY = 20;

  private static final double MILLIS_PER_SECOND = 1000;

  private final double share;
  private final double floorPerSecond;
  private final double capacity;
  private double tokens;
  private long filledMillis;

  /**
   * Makes a budget that starts with one second of its floor.
   *
   * @param share the share of calls that may be tried again, 0 to 1
   * @param floorPerSecond retries a second that are allowed however few calls there are
   * @param nowMillis the time
   */
  public RetryBudget(double share, double floorPerSecond, long nowMillis) {
    this(share, floorPerSecond, DEFAULT_CAPACITY, nowMillis);
  }

  /**
   * Makes a budget that starts with one second of its floor.
   *
   * @param share the share of calls that may be tried again, 0 to 1
   * @param floorPerSecond retries a second that are allowed however few calls there are
   * @param capacity how many retries may be saved up; at least 1
   * @param nowMillis the time
   */
  public RetryBudget(double share, double floorPerSecond, double capacity, long nowMillis) {
    this.share = share;
    this.capacity = Math.max(1, capacity);
    this.floorPerSecond = floorPerSecond;
    this.tokens = floorPerSecond;
    this.filledMillis = nowMillis;
  }

  /** Counts a call that a caller sent. */
  public void called() {
    tokens = Math.min(capacity, tokens + share);
  }

  /** Takes a retry out of the budget, when there is one. */
  public boolean take(long nowMillis) {
    fill(nowMillis);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  private void fill(long nowMillis) {
    if (nowMillis > filledMillis) {
      double grown = (nowMillis - filledMillis) * floorPerSecond / MILLIS_PER_SECOND;
      tokens = Math.min(capacity, tokens + grown);
      filledMillis = nowMillis;
    }
  }
}
