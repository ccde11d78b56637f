package io.hemlockbend.testkit.rollout;

import java.util.SplittableRandom;

/**
 * What a modelled move meets.
 *
 * @param seed all that is drawn follows from it
 * @param badness how the new version is bad
 * @param trouble what goes wrong around it
 * @param offeredCallsPerSecond how many calls the service gets, but for scarce traffic
 */
record Scenario(long seed, Badness badness, Trouble trouble, double offeredCallsPerSecond) {
  private static final double SCARCE_CALLS_PER_SECOND = 0.2;
  private static final double FIRST_LATE_PART = 0.2;
  private static final double LAST_LATE_PART = 0.95;

  /** Returns how many calls a second the service gets. */
  double callsPerSecond() {
    return trouble == Trouble.SCARCE_TRAFFIC ? SCARCE_CALLS_PER_SECOND : offeredCallsPerSecond;
  }

  /** Returns the part of the move's time from which on a version is bad that turns bad late. */
  double latePart() {
    double drawn = new SplittableRandom(seed).nextDouble();
    return FIRST_LATE_PART + (LAST_LATE_PART - FIRST_LATE_PART) * drawn;
  }
}
