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

/** Turns the outcome of a commit into what the operator is told. */
final class CommitAnswers {
  private CommitAnswers() {}

  /**
   * Returns the answer of an acceptance.
   *
   * @throws AdministrationException for any other outcome
   */
  static AdminResponse.Accepted answer(CommitId commit, CommitOutcome outcome) {
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
                  "the commit may have been accepted, or may yet be; send it again with the same"
                      + " commit id to settle it"));
      case CommitOutcome.Unavailable unavailable ->
          throw problem(
              commit,
              Problem.of(
                  ProblemKey.PLATFORM_AWAY,
                  "the platform can't be reached; the changes were not accepted"));
    };
  }

  /** Returns the key of a refusal: forbidden when nothing but ownership stands against it. */
  static ProblemKey refusal(List<Violation> violations) {
    boolean ownership =
        violations.stream().allMatch(violation -> violation.key() == ViolationKey.NOT_OWNED);
    return ownership ? ProblemKey.FORBIDDEN : ProblemKey.REFUSED;
  }

  private static AdministrationException problem(CommitId commit, Problem problem) {
    return new AdministrationException(problem.withCommit(commit));
  }

  private static Problem conflict(CommitOutcome.Conflict conflict) {
    String reason =
        switch (conflict.cause()) {
          case BASE_CHANGED -> "accepted versions since the base changed the same things";
          case BASE_TOO_OLD -> "the base is too old to compare; discard and stage anew";
          case OVERTAKEN -> "others were accepted first each time; commit again";
          case STAGED_CHANGED -> "the staged changes were altered during the commit";
          case CONDITION_FAILED -> "a condition of the commit no longer holds";
          case COMMIT_CLOSED -> "the commit id was closed without an acceptance";
        };
    return new Problem(
        ProblemKey.CONFLICT,
        reason + " (base " + conflict.base() + ", current " + conflict.current() + ")",
        List.<Fault>of(),
        conflict.competing(),
        Optional.empty());
  }
}
