package io.hemlockbend.core.distribution;

/** Bounds how many whole configurations this node sends to peers. */
final class BodyBudget {
  private static final int BURST = 4;
  private static final long REFILL_MILLIS = 250;

  private int tokens = BURST;
  private long refilledMillis;

  boolean take(long nowMillis) {
    long earned = Math.max(0, (nowMillis - refilledMillis) / REFILL_MILLIS);
    if (earned > 0) {
      tokens = (int) Math.min(BURST, tokens + earned);
      refilledMillis = nowMillis;
    }
    if (tokens == 0) {
      return false;
    }
    tokens--;
    return true;
  }
}
