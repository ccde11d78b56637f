package io.hemlockbend.core.transfer;

/**
 * Flow-control settings of large bodies on an instance's link.
 *
 * @param bytesPerSecond rate of the link that bodies may use; 0 if unknown
 * @param windowBytes maximum credit of all bodies that has not been received yet
 * @param bodyWindowBytes the same for a single body
 * @param stepBytes the least credit granted at once, except at the end of a body
 * @param stallMillis the time without progress after which a body's share of the window counts as
 *     free
 */
public record IntakeSettings(
    double bytesPerSecond, int windowBytes, int bodyWindowBytes, int stepBytes, long stallMillis) {
  /**
   * Fills a link of 140 Mbit/s at a round-trip time of 5 ms, and delays other traffic by 50 ms at
   * 15 Mbit/s.
   */
  private static final int WINDOW_BYTES = 96 * 1024;

  private static final int BODY_WINDOW_BYTES = 64 * 1024;
  private static final int STEP_BYTES = 16 * 1024;

  /** Longer than the response time of a busy node with 0.3 cores. */
  private static final long STALL_MILLIS = 400;

  /** Share of the link that bodies may use; the rest is for all other traffic. */
  private static final double BODIES_SHARE = 0.85;

  /** Settings for a link of unknown rate: bodies are still received in order, within the window. */
  public static final IntakeSettings UNKNOWN_RATE = ofLink(0);

  /**
   * Validates the bounds.
   *
   * @throws IllegalArgumentException unless {@code 1 <= stepBytes <= bodyWindowBytes <=
   *     windowBytes} and the rate is at least 0
   */
  public IntakeSettings {
    if (!(bytesPerSecond >= 0)
        || stepBytes < 1
        || bodyWindowBytes < stepBytes
        || windowBytes < bodyWindowBytes) {
      throw new IllegalArgumentException(
          "need rate >= 0 and 1 <= step <= body window <= window, got "
              + bytesPerSecond
              + ", "
              + stepBytes
              + ", "
              + bodyWindowBytes
              + ", "
              + windowBytes);
    }
  }

  /**
   * Returns the default settings for a link.
   *
   * @param linkBytesPerSecond rate of the link; 0 if unknown
   */
  public static IntakeSettings ofLink(double linkBytesPerSecond) {
    return new IntakeSettings(
        BODIES_SHARE * linkBytesPerSecond,
        WINDOW_BYTES,
        BODY_WINDOW_BYTES,
        STEP_BYTES,
        STALL_MILLIS);
  }
}
