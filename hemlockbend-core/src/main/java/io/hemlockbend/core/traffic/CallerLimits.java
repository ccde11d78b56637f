package io.hemlockbend.core.traffic;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the most bytes of a request line and its headers
 * @param maxBodyBytes the most bytes of a body
 * @param headerTimeoutMillis how long the headers of a request may take to arrive
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** The limits in force while no configuration is known. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 67_108_864L, 3_000, 15_000);

  /**
   * Validates the limits.
   *
   * @throws IllegalArgumentException when one is not positive
   */
  public CallerLimits {
    if (maxHeaderBytes < 1
        || maxBodyBytes < 1
        || headerTimeoutMillis < 1
        || idleTimeoutMillis < 1) {
      throw new IllegalArgumentException("limits must be positive");
    }
  }
}
