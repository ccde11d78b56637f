package io.hemlockbend.core.traffic;

/**
 * How far the rate that a service states for its cold upstreams may be exceeded in any second. The
 * figures are the platform's bounds.
 *
 * @param factor the multiple of the stated rate that is allowed
 * @param slack requests a second that are allowed beside that
 */
public record ColdAllowance(double factor, double slack) {
  /** Allows no more than the stated rate. */
  public static final ColdAllowance NONE = new ColdAllowance(1, 0);

  /**
   * Makes an allowance.
   *
   * @throws IllegalArgumentException when it allows less than the stated rate
   */
  public ColdAllowance {
    if (!(factor >= 1) || !(slack >= 0)) {
      throw new IllegalArgumentException(
          "a cold allowance of " + factor + " times the rate and " + slack + " beside it");
    }
  }

  /** Returns how many requests are allowed in any second, given the stated rate. */
  public double perSecond(double statedPerSecond) {
    return statedPerSecond * factor + slack;
  }
}
