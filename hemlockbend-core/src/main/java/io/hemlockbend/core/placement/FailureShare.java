package io.hemlockbend.core.placement;

/**
 * The share of an upstream's latest requests that failed. It is forgotten with time, so that an
 * upstream that got few requests since is tried again. Times are milliseconds.
 */
public final class FailureShare {
  private static final double WEIGHT = 0.05;
  private static final double HALF_LIFE_MILLIS = 2_000;

  private double share;
  private long learnedMillis;

  /** Forgets all. */
  public void clear() {
    share = 0;
  }

  /** Takes in how a request ended. */
  public void learn(boolean failed, long nowMillis) {
    share = share(nowMillis);
    share += WEIGHT * ((failed ? 1 : 0) - share);
    learnedMillis = nowMillis;
  }

  /** Returns the share, 0 to 1. */
  public double share(long nowMillis) {
    return share * Math.pow(0.5, Math.max(0, nowMillis - learnedMillis) / HALF_LIFE_MILLIS);
  }
}
