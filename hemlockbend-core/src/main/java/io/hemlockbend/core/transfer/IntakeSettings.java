package io.hemlockbend.core.transfer;

/**
 * Bounds of the large bodies that come in over an instance's link.
 *
 * @param bytesPerSecond how many of their bytes the link carries; 0 when that is not known
 * @param windowBytes how many bytes of all bodies may be asked for that are not here yet
 * @param bodyWindowBytes the same of one body
 * @param stepBytes the least number of bytes that is asked for at once, but for a body's last ones
 * @param stallMillis after how long without a byte of it a body's share of the window counts as
 *     free
 */
public record IntakeSettings(
    double bytesPerSecond, int windowBytes, int bodyWindowBytes, int stepBytes, long stallMillis) {
  /**
   * Fills a link of 140 Mbit/s at a round trip of 5 ms; at 15 Mbit/s other traffic waits 50 ms
   * behind it.
   */
  private static final int WINDOW_BYTES = 96 * 1024;

  private static final int BODY_WINDOW_BYTES = 64 * 1024;
  private static final int STEP_BYTES = 16 * 1024;

  /** Longer than a busy node of 0.3 cores takes to answer. */
  private static final long STALL_MILLIS = 400;

  /** The part of the link that bodies may take; the rest is for all other traffic. */
  private static final double BODIES_SHARE = 0.85;

  /** The bounds where the rate of the link is not known: bodies still come in one by one. */
  public static final IntakeSettings UNKNOWN_RATE = ofLink(0);

  /**
   * Validates the bounds.
   *
   * @throws IllegalArgumentException when no body could ever come in
   */
  public IntakeSettings {
    if (!(bytesPerSecond >= 0)
        || stepBytes < 1
        || bodyWindowBytes < stepBytes
        || windowBytes < bodyWindowBytes) {
      throw new IllegalArgumentException(
          "need a rate and 1 <= step <= window of a body <= window, got "
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
   * Returns the usual bounds for a link.
   *
   * @param linkBytesPerSecond what the link carries; 0 when that is not known
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
