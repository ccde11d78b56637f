package io.hemlockbend.core.admission;

/**
 * Tells the calls that running requests make from new requests: their callers wait far less than
 * others that ask the same upstream. Such a call is of use until its deadline, however late it is
 * by its own target, since the run that made it is wasted without it. After a loss of all power,
 * when upstreams are slow, most calls miss their targets.
 */
public final class ShortLived {
  private static final double SHARE_OF_LONGEST = 0.5;
  private static final double HALF_LIFE_MILLIS = 5_000;

  private double longestMillis;
  private long seenMillis;

  /**
   * Takes a request in and returns whether its caller waits for less than half as long as others.
   *
   * @param remainingMillis how long its caller waits from now on
   * @param nowMillis the time
   */
  public boolean check(long remainingMillis, long nowMillis) {
    longestMillis *= Math.pow(0.5, Math.max(0, nowMillis - seenMillis) / HALF_LIFE_MILLIS);
    longestMillis = Math.max(longestMillis, remainingMillis);
    seenMillis = nowMillis;
    return remainingMillis < SHARE_OF_LONGEST * longestMillis;
  }
}
