package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;

/**
 * The calls of two versions that can be compared: same route, same failure domain, same time.
 *
 * @param atMillis when its first second began at the node that gathered the evidence
 * @param route the route
 * @param domain the failure domain
 * @param old the calls of the predecessor
 * @param fresh the calls of the version that is judged
 */
public record Stratum(
    long atMillis, RouteName route, FailureDomain domain, Counts old, Counts fresh) {

  /** Returns both strata as one that began with this one; both are of the same route and domain. */
  Stratum plus(Stratum later) {
    return new Stratum(atMillis, route, domain, old.plus(later.old), fresh.plus(later.fresh));
  }
}
