package io.hemlockbend.core.traffic;

/**
 * Size and time limits of callers' requests and connections.
 *
 * @param maxHeaderBytes maximum size of the request line and headers
 * @param maxBodyBytes maximum size of a body
 * @param headerTimeoutMillis maximum time for the headers of a request to arrive
 * @param idleTimeoutMillis maximum time that a connection may be idle
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** The limits in force until a configuration is loaded. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 67_108_864L, 3_000, 15_000);

  /**
   * Validates the limits.
   *
   * @throws IllegalArgumentException if a limit is not positive
   */
  public CallerLimits {
    if (maxHeaderBytes < 1
        || maxBodyBytes < 1
        || headerTimeoutMillis < 1
        || idleTimeoutMillis < 1) {
      throw new IllegalArgumentException(
          "limits must be positive, got "
              + maxHeaderBytes
              + ", "
              + maxBodyBytes
              + ", "
              + headerTimeoutMillis
              + ", "
              + idleTimeoutMillis);
    }
  }
}
