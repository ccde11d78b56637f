package io.hemlockbend.core.retry;

/**
 * Bounds of the retries of all nodes together to one service.
 *
 * @param ratio maximum ratio of retries to requests
 * @param slack number of retries allowed per window on top of that ratio
 * @param windowMillis length of the window, in milliseconds
 */
public record RetryBounds(double ratio, double slack, long windowMillis) {
  /**
   * Validates the bounds.
   *
   * @throws IllegalArgumentException if ratio or slack is negative or not finite, or the window is
   *     not positive
   */
  public RetryBounds {
    if (!(ratio >= 0) || !(slack >= 0) || !Double.isFinite(ratio + slack) || windowMillis < 1) {
      throw new IllegalArgumentException(
          "ratio and slack must not be negative and the window must be positive, got "
              + ratio
              + ", "
              + slack
              + ", "
              + windowMillis);
    }
  }
}
