package io.hemlockbend.testkit.platform;

/**
 * What is wrong with the platform.
 *
 * @param down whether connections are closed without effect or answer
 * @param slowMillis how long each call waits before it takes effect
 * @param lostAnswersPermille the share of calls whose answer is lost after they took effect, 0 to
 *     1000
 */
public record PlatformFaults(boolean down, long slowMillis, int lostAnswersPermille) {
  /** Nothing is wrong. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);
}
