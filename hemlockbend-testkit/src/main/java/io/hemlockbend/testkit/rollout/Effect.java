package io.hemlockbend.testkit.rollout;

/**
 * What a fault does to a call.
 *
 * @param failureShare how likely it fails the call
 * @param slowFactor by what it multiplies the service time
 */
record Effect(double failureShare, double slowFactor) {
  /** No fault. */
  static final Effect NONE = new Effect(0, 1);
}
