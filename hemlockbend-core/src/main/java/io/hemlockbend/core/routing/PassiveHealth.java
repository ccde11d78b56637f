package io.hemlockbend.core.routing;

/**
 * Judges one upstream by the calls that this entry made to it. Consecutive failures eject it for a
 * time that doubles with each ejection; one success clears it. Health endpoints are not asked,
 * since they lag or mislead. Safe for many threads.
 */
public final class PassiveHealth {
  private static final int FAILURES_TO_EJECT = 3;
  private static final long FIRST_EJECTION_MILLIS = 500;
  private static final long LONGEST_EJECTION_MILLIS = 16_000;

  private int failures;
  private long ejectionMillis = FIRST_EJECTION_MILLIS;
  private long ejectedUntilMillis;

  /** Notes a whole answer. */
  public synchronized void succeeded() {
    failures = 0;
    ejectionMillis = FIRST_EJECTION_MILLIS;
    ejectedUntilMillis = 0;
  }

  /**
   * Notes a connection that failed, a timeout or a broken answer.
   *
   * @param nowMillis the time, milliseconds since the epoch
   */
  public synchronized void failed(long nowMillis) {
    failures++;
    if (failures < FAILURES_TO_EJECT || nowMillis < ejectedUntilMillis) {
      return;
    }
    ejectedUntilMillis = nowMillis + ejectionMillis;
    ejectionMillis = Math.min(LONGEST_EJECTION_MILLIS, ejectionMillis * 2);
  }

  /**
   * Returns whether the upstream is left alone for now; when the time is over the next call probes
   * it.
   *
   * @param nowMillis the time, milliseconds since the epoch
   */
  public synchronized boolean ejected(long nowMillis) {
    return nowMillis < ejectedUntilMillis;
  }
}
