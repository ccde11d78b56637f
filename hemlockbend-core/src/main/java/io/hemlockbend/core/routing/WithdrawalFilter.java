package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.model.DomainState;

/** Accepts upstreams whose failure domain is not withdrawn. */
final class WithdrawalFilter implements CandidateFilter {

  @Override
  public boolean accepts(Member member, Endpoint endpoint, RoutingInput input) {
    DomainState state = input.configuration().domains().get(member.domain());
    return !(state instanceof DomainState.Withdrawn);
  }
}
