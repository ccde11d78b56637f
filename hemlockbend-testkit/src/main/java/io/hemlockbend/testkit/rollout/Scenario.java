package io.hemlockbend.testkit.rollout;

import java.util.SplittableRandom;

/**
 * The parameters of a modelled move.
 *
 * @param seed the seed of all random draws
 * @param defect the defect of the new version
 * @param disturbance the disturbance around the move
 * @param offeredCallsPerSecond the load of the service, except with scarce traffic
 */
record Scenario(long seed, Defect defect, Disturbance disturbance, double offeredCallsPerSecond) {
  private static final double SCARCE_CALLS_PER_SECOND = 0.2;
  private static final double MIN_LATE_FRACTION = 0.2;
  private static final double MAX_LATE_FRACTION = 0.95;

  /** Returns the load of the service. */
  double callsPerSecond() {
    return disturbance == Disturbance.SCARCE_TRAFFIC
        ? SCARCE_CALLS_PER_SECOND
        : offeredCallsPerSecond;
  }

  /** Returns the fraction of the move's time after which {@link Defect#LATE} takes effect. */
  double lateFraction() {
    double drawn = new SplittableRandom(seed).nextDouble();
    return MIN_LATE_FRACTION + (MAX_LATE_FRACTION - MIN_LATE_FRACTION) * drawn;
  }
}
