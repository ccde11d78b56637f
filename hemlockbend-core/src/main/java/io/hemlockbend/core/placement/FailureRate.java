package io.hemlockbend.core.placement;

/**
 * Exponential moving average of the share of an upstream's requests that failed. It also decays
 * with time, so that an upstream that is avoided because of failures is tried again. Times are
 * milliseconds.
 */
public final class FailureRate {
  private static final double WEIGHT = 0.05;
  private static final double HALF_LIFE_MILLIS = 2_000;

  private double rate;
  private long updatedMillis;

  /** Resets the average to 0. */
  public void clear() {
    rate = 0;
  }

  /** Records the result of a request. */
  public void record(boolean failed, long nowMillis) {
    rate = rate(nowMillis);
    rate += WEIGHT * ((failed ? 1 : 0) - rate);
    updatedMillis = nowMillis;
  }

  /** Returns the share of failed requests, decayed up to the given time; 0 to 1. */
  public double rate(long nowMillis) {
    return rate * Math.pow(0.5, Math.max(0, nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
  }
}
