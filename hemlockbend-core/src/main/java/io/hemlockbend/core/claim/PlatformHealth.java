package io.hemlockbend.core.claim;

/** Tells whether the table seems away, so that claims are refused at once instead of waiting. */
final class PlatformHealth {
  private static final int FAILURES_TO_BE_AWAY = 3;
  private static final long PROBE_MILLIS = 1_000;

  private int failures;
  private long probedMillis;

  void answered() {
    failures = 0;
  }

  void failed(long nowMillis) {
    failures++;
    probedMillis = nowMillis;
  }

  /** Returns whether a claim may be tried; while the table is away one a second is a probe. */
  boolean mayTry(long nowMillis) {
    if (failures < FAILURES_TO_BE_AWAY) {
      return true;
    }
    if (nowMillis - probedMillis < PROBE_MILLIS) {
      return false;
    }
    probedMillis = nowMillis;
    return true;
  }
}
