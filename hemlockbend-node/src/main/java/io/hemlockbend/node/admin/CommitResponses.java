package io.hemlockbend.node.admin;

import io.hemlockbend.core.acceptance.CommitOutcome;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.administration.Fault;
import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.administration.ProblemKey;
import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.validation.Violation;
import io.hemlockbend.core.validation.ViolationKey;
import java.util.List;
import java.util.Optional;

/** Converts the outcome of a commit to the response or error for the operator. */
final class CommitResponses {
  private CommitResponses() {}

  /**
   * Returns the response to an accepted commit.
   *
   * @throws AdministrationException for any other outcome
   */
  static AdminResponse.Accepted response(CommitId commit, CommitOutcome outcome) {
    return switch (outcome) {
      case CommitOutcome.Accepted accepted ->
          new AdminResponse.Accepted(
              commit, accepted.mark().version(), accepted.mark().digest(), accepted.changes());
      case CommitOutcome.Refused(List<Violation> violations) ->
          throw problem(commit, Problem.refused(refusal(violations), violations));
      case CommitOutcome.Conflict conflict -> throw problem(commit, conflict(conflict));
      case CommitOutcome.Unknown unknown ->
          throw problem(
              commit,
              Problem.of(
                  ProblemKey.UNKNOWN,
                  "the commit may have been accepted or may still be; send it again with the same"
                      + " commit id to learn its outcome"));
      case CommitOutcome.Unavailable unavailable ->
          throw problem(
              commit,
              Problem.of(
                  ProblemKey.PLATFORM_AWAY, "platform unreachable; the changes were not accepted"));
    };
  }

  /** Returns the problem key of a refusal: FORBIDDEN when all violations are of ownership. */
  static ProblemKey refusal(List<Violation> violations) {
    boolean ownershipOnly =
        violations.stream().allMatch(violation -> violation.key() == ViolationKey.NOT_OWNED);
    return ownershipOnly ? ProblemKey.FORBIDDEN : ProblemKey.REFUSED;
  }

  private static AdministrationException problem(CommitId commit, Problem problem) {
    return new AdministrationException(problem.withCommit(commit));
  }

  private static Problem conflict(CommitOutcome.Conflict conflict) {
    String reason =
        switch (conflict.cause()) {
          case BASE_CHANGED -> "versions accepted since the base changed the same parts";
          case BASE_TOO_OLD -> "the base version is too old to compare; discard and stage again";
          case OVERTAKEN -> "other commits were accepted first on every attempt; commit again";
          case STAGED_CHANGED -> "the staged changes were modified during the commit";
          case CONDITION_FAILED -> "a condition of the commit no longer holds";
          case COMMIT_CLOSED -> "the commit id was closed by an earlier refusal or conflict";
        };
    return new Problem(
        ProblemKey.CONFLICT,
        reason + " (base " + conflict.base() + ", current " + conflict.current() + ")",
        List.<Fault>of(),
        conflict.competing(),
        Optional.empty());
  }
}
