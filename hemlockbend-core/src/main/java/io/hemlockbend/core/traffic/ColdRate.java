package io.hemlockbend.core.traffic;

import java.util.ArrayDeque;

/**
 * Bounds and paces the requests that a cold upstream gets. Only the node beside the upstream sends
 * it requests, so that its count is exact. Times are milliseconds of a steady clock.
 *
 * <p>The requests of a second are spread over it but for a small burst: after a loss of all power
 * the first callers would otherwise take the whole second's share at once, and nothing would be
 * left for the calls that their own runs make a moment later.
 */
public final class ColdRate {
  /** The part of the allowance that is used, so that requests on their way do not exceed it. */
  public static final double USED_SHARE = 0.95;

  /**
   * The span over which requests are counted: more than a second, since requests that are sent in
   * two seconds may arrive in one.
   */
  public static final long WINDOW_MILLIS = 1_100;

  /** How many requests may be sent at once. */
  private static final double BURST = 6;

  private final ColdAllowance allowance;
  private final ArrayDeque<Long> sent = new ArrayDeque<>();
  private double perWindow = Double.MAX_VALUE;
  private double tokens = Double.MAX_VALUE;
  private long filledMillis;
  private long coldUntilMillis;

  /**
   * Makes the rate of a warm upstream of a service that is not known yet.
   *
   * @param allowance how far the rate that a service states may be exceeded
   */
  public ColdRate(ColdAllowance allowance) {
    this.allowance = allowance;
  }

  /** Returns the rate of an upstream that is never cold. */
  public static ColdRate unbounded() {
    return new ColdRate(ColdAllowance.NONE);
  }

  /** Takes in how many requests a second a cold upstream bears. */
  public void perSecond(double rate) {
    perWindow = Math.max(1, Math.floor(allowance.perSecond(rate) * USED_SHARE));
    tokens = Math.min(tokens, BURST);
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
    if (!bounded(nowMillis)) {
      return Integer.MAX_VALUE;
    }
    fill(nowMillis);
    return (int) Math.max(0, Math.min(tokens, perWindow - sent.size()));
  }

  /**
   * Returns after how long there is room for so many requests at once; 0 when there is some now.
   *
   * @param requests how many; at most {@link #BURST}
   */
  public long waitMillis(int requests, long nowMillis) {
    if (room(nowMillis) >= requests) {
      return 0;
    }
    double untilTokens = Math.ceil((requests - tokens) * gapMillis(nowMillis));
    long untilWindow = sent.size() < perWindow ? 0 : sent.peekFirst() + WINDOW_MILLIS - nowMillis;
    return Math.max(1, Math.max((long) untilTokens, untilWindow));
  }

  /** Returns the time between two requests at the bound, in milliseconds; 0 when it is warm. */
  public double gapMillis(long nowMillis) {
    return bounded(nowMillis) ? WINDOW_MILLIS / perWindow : 0;
  }

  /** Notes that a request is sent. */
  public void sent(long nowMillis) {
    fill(nowMillis);
    tokens = Math.max(0, tokens - 1);
    sent.addLast(nowMillis);
  }

  private boolean bounded(long nowMillis) {
    return cold(nowMillis) && perWindow < Double.MAX_VALUE;
  }

  private void fill(long nowMillis) {
    while (!sent.isEmpty() && sent.peekFirst() <= nowMillis - WINDOW_MILLIS) {
      sent.removeFirst();
    }
    if (nowMillis > filledMillis) {
      double grown = (nowMillis - filledMillis) * perWindow / WINDOW_MILLIS;
      tokens = Math.min(BURST, tokens + grown);
      filledMillis = nowMillis;
    }
  }
}
