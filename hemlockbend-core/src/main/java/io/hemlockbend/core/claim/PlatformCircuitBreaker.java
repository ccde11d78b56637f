package io.hemlockbend.core.claim;

/** Circuit breaker that refuses claims at once, without waiting, while the table is failing. */
final class PlatformCircuitBreaker {
  private static final int FAILURE_THRESHOLD = 3;
  private static final long PROBE_INTERVAL_MILLIS = 1_000;

  private int consecutiveFailures;
  private long lastAttemptMillis;

  void recordSuccess() {
    consecutiveFailures = 0;
  }

  void recordFailure(long nowMillis) {
    consecutiveFailures++;
    lastAttemptMillis = nowMillis;
  }

  /** Returns whether a claim may be tried; while the breaker is open, one a second is a probe. */
  boolean allowsClaim(long nowMillis) {
    if (consecutiveFailures < FAILURE_THRESHOLD) {
      return true;
    }
    if (nowMillis - lastAttemptMillis < PROBE_INTERVAL_MILLIS) {
      return false;
    }
    lastAttemptMillis = nowMillis;
    return true;
  }
}
