package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;

/** Accepts upstreams of versions that are usable and not braked. */
final class BrakeFilter implements CandidateFilter {

  @Override
  public boolean accepts(Member member, Endpoint endpoint, RoutingInput input) {
    return input.configuration().usable(endpoint.key()) && !input.braked().contains(endpoint.key());
  }
}
