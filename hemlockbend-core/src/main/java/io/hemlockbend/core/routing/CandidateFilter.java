package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;

/** Decides by one criterion whether an upstream is eligible. */
@FunctionalInterface
interface CandidateFilter {
  /**
   * Returns whether the upstream meets the criterion.
   *
   * @param member the node beside the upstream
   * @param endpoint the upstream
   * @param input the input of the routing table
   */
  boolean accepts(Member member, Endpoint endpoint, RoutingInput input);
}
