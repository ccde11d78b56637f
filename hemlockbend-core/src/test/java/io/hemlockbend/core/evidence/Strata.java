package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import java.util.random.RandomGenerator;

/** Generates random strata for tests. */
final class Strata {
  static final int DOMAINS = 3;

  private final RandomGenerator random;

  Strata(RandomGenerator random) {
    this.random = random;
  }

  static Stratum of(int second, int route, int domain, Counts old, Counts fresh) {
    return new Stratum(
        second * 1000L,
        new RouteName("route-" + route),
        new FailureDomain("domain-" + domain),
        old,
        fresh);
  }

  /** Draws counts with the given share of failures and exponentially distributed service times. */
  Counts draw(int calls, double failureShare, double meanMillis) {
    Counts counts = Counts.NONE;
    for (int i = 0; i < calls; i++) {
      long failures = random.nextDouble() < failureShare ? 1 : 0;
      double millis = random.nextExponential() * meanMillis;
      counts = counts.plus(new Counts(1, failures, millis > 500 ? 1 : 0, millis));
    }
    return counts;
  }
}
