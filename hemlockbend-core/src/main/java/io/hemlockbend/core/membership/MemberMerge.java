package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;
import java.util.Comparator;

/**
 * Merges two claims about the same node. The claim of the higher incarnation wins, then the later
 * status, then a fixed order of the remaining fields; the applied version is the newer of both. The
 * merge is commutative, associative and idempotent: it is the maximum of two total orders.
 */
public final class MemberMerge {
  private static final Comparator<Member> CLAIMS =
      Comparator.comparingLong(Member::incarnation)
          .thenComparing(Member::status)
          .thenComparing(Member::region)
          .thenComparing(Member::domain)
          .thenComparing(member -> member.control().toString())
          .thenComparing(member -> member.mesh().toString())
          .thenComparing(member -> member.endpoint().map(Endpoint::toString).orElse(""));

  private MemberMerge() {}

  /**
   * Merges two claims.
   *
   * @param first a claim
   * @param second another claim about the same node
   * @return the merged claim
   * @throws IllegalArgumentException when the claims are about different nodes
   */
  public static Member merge(Member first, Member second) {
    if (!first.id().equals(second.id())) {
      throw new IllegalArgumentException(
          "claims about different nodes: " + first.id() + " and " + second.id());
    }
    Member winner = supersedes(second, first) ? second : first;
    ConfigurationVersion applied =
        first.applied().newerThan(second.applied()) ? first.applied() : second.applied();
    return winner.applied().equals(applied) ? winner : winner.withApplied(applied);
  }

  /** Returns whether a claim takes precedence over the known one; ignores the applied version. */
  static boolean supersedes(Member claim, Member known) {
    if (claim.incarnation() != known.incarnation()) {
      return claim.incarnation() > known.incarnation();
    }
    return CLAIMS.compare(claim, known) > 0;
  }
}
