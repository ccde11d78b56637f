package io.hemlockbend.core.routing;

/**
 * Passive health check of one upstream by the calls that this entry made to it. Consecutive
 * failures eject it with exponential back-off; one success resets it. Health endpoints are not
 * polled, since their results lag or mislead. Thread-safe.
 */
public final class PassiveHealth {
  private static final int FAILURES_TO_EJECT = 3;
  private static final long FIRST_EJECTION_MILLIS = 500;
  private static final long MAX_EJECTION_MILLIS = 16_000;

  private int failures;
  private long ejectionMillis = FIRST_EJECTION_MILLIS;
  private long ejectedUntilMillis;

  /** Records a complete answer. */
  public synchronized void succeeded() {
    failures = 0;
    ejectionMillis = FIRST_EJECTION_MILLIS;
    ejectedUntilMillis = 0;
  }

  /**
   * Records a failed connection, a timeout or an incomplete answer.
   *
   * @param nowMillis the time, milliseconds since the epoch
   */
  public synchronized void failed(long nowMillis) {
    failures++;
    if (failures < FAILURES_TO_EJECT || nowMillis < ejectedUntilMillis) {
      return;
    }
    ejectedUntilMillis = nowMillis + ejectionMillis;
    ejectionMillis = Math.min(MAX_EJECTION_MILLIS, ejectionMillis * 2);
  }

  /**
   * Returns whether the upstream is ejected; after the ejection the next call probes it.
   *
   * @param nowMillis the time, milliseconds since the epoch
   */
  public synchronized boolean ejected(long nowMillis) {
    return nowMillis < ejectedUntilMillis;
  }
}
