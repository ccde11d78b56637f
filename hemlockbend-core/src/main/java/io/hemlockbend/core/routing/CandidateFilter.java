package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;

/** Decides on one ground whether an upstream may be chosen at all. */
@FunctionalInterface
interface CandidateFilter {
  /**
   * Returns whether the upstream may be chosen as far as this filter can tell.
   *
   * @param member the node
   * @param endpoint the upstream beside it
   * @param input what the table is made from
   */
  boolean admits(Member member, Endpoint endpoint, RoutingInput input);
}
