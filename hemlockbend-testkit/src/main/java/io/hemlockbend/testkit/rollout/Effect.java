package io.hemlockbend.testkit.rollout;

/**
 * The effect of a defect or disturbance on a call.
 *
 * @param failureShare the probability that it fails the call
 * @param slowFactor the factor on the service time
 */
record Effect(double failureShare, double slowFactor) {
  static final Effect NONE = new Effect(0, 1);
}
