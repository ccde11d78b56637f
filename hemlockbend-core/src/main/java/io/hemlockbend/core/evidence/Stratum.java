package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;

/**
 * The calls of two versions on one route, in one failure domain and over the same time, which makes
 * them comparable.
 *
 * @param atMillis start of the first bucket, on the clock of the node that collects the evidence
 * @param route the route
 * @param domain the failure domain
 * @param old the calls of the predecessor
 * @param fresh the calls of the version under judgement
 */
public record Stratum(
    long atMillis, RouteName route, FailureDomain domain, Counts old, Counts fresh) {

  /** Merges a later stratum of the same route and domain into this one; keeps this start time. */
  Stratum plus(Stratum later) {
    return new Stratum(atMillis, route, domain, old.plus(later.old), fresh.plus(later.fresh));
  }
}
