package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;

/**
 * Accepts ready upstreams beside live nodes. A suspect node counts as alive until the suspicion is
 * confirmed, since it may refute it; passive health checks cover the time in between.
 */
final class LivenessFilter implements CandidateFilter {

  @Override
  public boolean accepts(Member member, Endpoint endpoint, RoutingInput input) {
    boolean alive =
        member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT;
    return alive && endpoint.state() == EndpointState.READY;
  }
}
