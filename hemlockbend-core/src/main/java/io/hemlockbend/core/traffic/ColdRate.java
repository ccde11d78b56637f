package io.hemlockbend.core.traffic;

import java.util.ArrayDeque;

/**
 * Bounds the requests that a cold upstream gets in any second. Only the node beside the upstream
 * sends it requests, so that its count is exact. Times are milliseconds of a steady clock.
 */
public final class ColdRate {
  /** The part of the stated rate that is used, so that requests on their way do not exceed it. */
  public static final double USED_SHARE = 0.95;

  /**
   * The span over which requests are counted: more than a second, since requests that are sent in
   * two seconds may arrive in one.
   */
  public static final long WINDOW_MILLIS = 1_100;

  private final ArrayDeque<Long> sent = new ArrayDeque<>();
  private double perSecond;
  private long coldUntilMillis;

  /** Makes the rate of a warm upstream. */
  public ColdRate(double perSecond) {
    this.perSecond = perSecond;
  }

  /** Takes in how many requests a second a cold upstream bears. */
  public void perSecond(double rate) {
    perSecond = rate;
  }

  /** Takes in how long the upstream stays cold from now on; 0 when it is warm. */
  public void coldFor(long coldMillis, long nowMillis) {
    coldUntilMillis = nowMillis + coldMillis;
  }

  /** Returns whether the upstream is cold. */
  public boolean cold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  /** Returns how many more requests may be sent now; unbounded when the upstream is warm. */
  public int room(long nowMillis) {
    forget(nowMillis);
    if (!cold(nowMillis)) {
      return Integer.MAX_VALUE;
    }
    return Math.max(0, (int) (perSecond * USED_SHARE) - sent.size());
  }

  /** Notes that a request is sent. */
  public void sent(long nowMillis) {
    forget(nowMillis);
    sent.addLast(nowMillis);
  }

  private void forget(long nowMillis) {
    while (!sent.isEmpty() && sent.peekFirst() <= nowMillis - WINDOW_MILLIS) {
      sent.removeFirst();
    }
  }
}
