package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import java.util.Optional;

/** A node's claim about itself; only the node itself raises its incarnation. */
final class SelfClaim {
  private Member member;
  private ConfigurationVersion recorded = ConfigurationVersion.NONE;

  SelfClaim(Member member) {
    this.member = member;
  }

  Member member() {
    return member;
  }

  ConfigurationVersion recorded() {
    return recorded;
  }

  void endpoint(Optional<Endpoint> endpoint) {
    member = member.withEndpoint(endpoint).withIncarnation(member.incarnation() + 1);
  }

  void applied(ConfigurationVersion version) {
    member = member.withApplied(version);
  }

  void leave() {
    member = member.withStatus(MemberStatus.LEFT).withIncarnation(member.incarnation() + 1);
  }

  /** Refutes a claim of others about this node; returns whether there was something to refute. */
  boolean refute(Member claim) {
    if (claim.applied().newerThan(recorded)) {
      recorded = claim.applied();
    }
    if (!MemberMerge.supersedes(claim, member)) {
      return false;
    }
    member = member.withIncarnation(claim.incarnation() + 1);
    return true;
  }
}
