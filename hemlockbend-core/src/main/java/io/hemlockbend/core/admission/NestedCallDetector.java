package io.hemlockbend.core.admission;

/**
 * Detects nested calls, which running requests make, by their short deadlines compared with other
 * requests to the same upstream. A nested call is useful until its deadline even if it misses its
 * latency target, since the request that made it fails without the answer. After a power failure of
 * the whole mesh, when upstreams are slow, most nested calls miss their targets.
 */
public final class NestedCallDetector {
  private static final double SHARE_OF_LONGEST = 0.5;
  private static final double HALF_LIFE_MILLIS = 5_000;

  private double longestMillis;
  private long updatedMillis;

  /**
   * Records a request and returns whether it has less than half of the longest recent remaining
   * time.
   *
   * @param remainingMillis the time until its deadline
   * @param nowMillis the time
   */
  public boolean detect(long remainingMillis, long nowMillis) {
    longestMillis *= Math.pow(0.5, Math.max(0, nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
    longestMillis = Math.max(longestMillis, remainingMillis);
    updatedMillis = nowMillis;
    return remainingMillis < SHARE_OF_LONGEST * longestMillis;
  }
}
