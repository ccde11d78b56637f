package io.hemlockbend.core.traffic;

import java.util.ArrayDeque;

/**
 * Rate limiter for requests to a cold upstream: a sliding window combined with a token bucket. Only
 * the node beside the upstream sends it requests, so the count is exact. Times are milliseconds of
 * a monotonic clock.
 *
 * <p>Except for a small burst, requests are spread evenly over each second: after a power failure
 * of the whole mesh, the first requests would otherwise use up the second's allowance at once and
 * leave nothing for their own nested calls.
 */
public final class ColdRateLimiter {
  /** Share of the allowance that is used; the rest is a margin for requests in transit. */
  public static final double USED_SHARE = 0.95;

  /**
   * Length of the sliding window. It is longer than a second, since requests that are sent over
   * more than a second may arrive within one.
   */
  public static final long WINDOW_MILLIS = 1_100;

  /** Capacity of the token bucket: requests that may be sent at once. */
  private static final double BURST = 6;

  private final ColdAllowance allowance;
  private final ArrayDeque<Long> sent = new ArrayDeque<>();
  private double perWindow = Double.MAX_VALUE;
  private double tokens = Double.MAX_VALUE;
  private long refilledMillis;
  private long coldUntilMillis;

  /**
   * Creates a limiter that does not limit until both the rate and the cold time are set.
   *
   * @param allowance by how much the declared rate may be exceeded
   */
  public ColdRateLimiter(ColdAllowance allowance) {
    this.allowance = allowance;
  }

  /** Returns a limiter for an upstream that is never cold. */
  public static ColdRateLimiter unbounded() {
    return new ColdRateLimiter(ColdAllowance.NONE);
  }

  /** Sets the declared rate of a cold upstream, in requests per second. */
  public void perSecond(double rate) {
    perWindow = Math.max(1, Math.floor(allowance.perSecond(rate) * USED_SHARE));
    tokens = Math.min(tokens, BURST);
  }

  /**
   * Sets how long the upstream stays cold from now on, as a new process or a health check states.
   *
   * @param coldMillis the remaining cold time; 0 if it is warm
   */
  public void coldFor(long coldMillis, long nowMillis) {
    coldUntilMillis = nowMillis + coldMillis;
  }

  /**
   * Applies the cold time of an announcement of the same process. It may arrive seconds late, and
   * an upstream may become cold again at any moment: it only extends what is known.
   *
   * @param coldMillis the remaining cold time when the announcement was sent
   */
  public void announcedColdFor(long coldMillis, long nowMillis) {
    coldUntilMillis = Math.max(coldUntilMillis, nowMillis + coldMillis);
  }

  /** Returns whether the upstream is cold and the rate that it bears then is not known. */
  public boolean rateMissing(long nowMillis) {
    return cold(nowMillis) && perWindow == Double.MAX_VALUE;
  }

  /** Returns whether the upstream is cold. */
  public boolean cold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  /** Returns how many milliseconds the upstream stays cold; 0 if it is warm. */
  public long coldMillis(long nowMillis) {
    return Math.max(0, coldUntilMillis - nowMillis);
  }

  /** Returns how many requests may be sent now; unbounded if the upstream is warm. */
  public int available(long nowMillis) {
    if (!limited(nowMillis)) {
      return Integer.MAX_VALUE;
    }
    refill(nowMillis);
    return (int) Math.max(0, Math.min(tokens, perWindow - sent.size()));
  }

  /**
   * Returns after how many milliseconds this many requests may be sent at once; 0 if they may now.
   *
   * @param requests number of requests; at most {@link #BURST}
   */
  public long waitMillis(int requests, long nowMillis) {
    if (available(nowMillis) >= requests) {
      return 0;
    }
    double untilTokens = Math.ceil((requests - tokens) * intervalMillis(nowMillis));
    long untilWindow = sent.size() < perWindow ? 0 : sent.peekFirst() + WINDOW_MILLIS - nowMillis;
    return Math.max(1, Math.max((long) untilTokens, untilWindow));
  }

  /** Returns the mean time between two requests at the full rate; 0 if the upstream is warm. */
  public double intervalMillis(long nowMillis) {
    return limited(nowMillis) ? WINDOW_MILLIS / perWindow : 0;
  }

  /** Records that a request is sent. */
  public void sent(long nowMillis) {
    refill(nowMillis);
    tokens = Math.max(0, tokens - 1);
    sent.addLast(nowMillis);
  }

  private boolean limited(long nowMillis) {
    return cold(nowMillis) && perWindow < Double.MAX_VALUE;
  }

  private void refill(long nowMillis) {
    while (!sent.isEmpty() && sent.peekFirst() <= nowMillis - WINDOW_MILLIS) {
      sent.removeFirst();
    }
    if (nowMillis > refilledMillis) {
      double added = (nowMillis - refilledMillis) * perWindow / WINDOW_MILLIS;
      tokens = Math.min(BURST, tokens + added);
      refilledMillis = nowMillis;
    }
  }
}
