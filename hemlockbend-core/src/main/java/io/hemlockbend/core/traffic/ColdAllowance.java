package io.hemlockbend.core.traffic;

/**
 * By how much the rate that a service declares for its cold upstreams may be exceeded in any
 * second. The values are the platform's bounds.
 *
 * @param factor multiple of the declared rate that is allowed; at least 1
 * @param slack additional requests per second; at least 0
 */
public record ColdAllowance(double factor, double slack) {
  /** Allows no more than the declared rate. */
  public static final ColdAllowance NONE = new ColdAllowance(1, 0);

  /**
   * Validates the allowance.
   *
   * @throws IllegalArgumentException if it allows less than the declared rate
   */
  public ColdAllowance {
    if (!(factor >= 1) || !(slack >= 0)) {
      throw new IllegalArgumentException(
          "need factor >= 1 and slack >= 0, got " + factor + ", " + slack);
    }
  }

  /** Returns how many requests are allowed in any second for a declared rate. */
  public double perSecond(double declaredPerSecond) {
    return declaredPerSecond * factor + slack;
  }
}
