package io.hemlockbend.testkit.platform;

/**
 * The faults injected into the stand-in of the platform.
 *
 * @param down whether connections are closed without effect or answer
 * @param slowMillis the delay of each call before it takes effect
 * @param lostAnswersPermille the share of calls whose answer is lost after they took effect, 0 to
 *     1000
 */
public record PlatformFaults(boolean down, long slowMillis, int lostAnswersPermille) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);
}
