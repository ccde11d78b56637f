package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.validation.Violation;
import java.util.List;
import java.util.Optional;

/** What became of a commit, as the operator is told. */
public sealed interface CommitOutcome {

  /**
   * The changes are accepted for good.
   *
   * @param mark the version that they made
   * @param changes the changes as they were accepted
   * @param plan the plan that was accepted; empty when another node made it under the same commit
   *     id
   */
  record Accepted(VersionMark mark, List<Change> changes, Optional<CommitPlan.Planned> plan)
      implements CommitOutcome {

    /** Copies the list. */
    public Accepted {
      changes = List.copyOf(changes);
    }
  }

  /**
   * The changes were not accepted and will not be under this commit id.
   *
   * @param violations every fault
   */
  record Refused(List<Violation> violations) implements CommitOutcome {

    /** Copies the list. */
    public Refused {
      violations = List.copyOf(violations);
    }
  }

  /**
   * The changes were not accepted, since something else changed in between.
   *
   * @param cause what changed
   * @param base the version that the changes were made against
   * @param current the version in force
   * @param competing the accepted versions whose changes have common subjects with these
   */
  record Conflict(
      Cause cause,
      ConfigurationVersion base,
      ConfigurationVersion current,
      List<RowValue.History> competing)
      implements CommitOutcome {

    /** Copies the list. */
    public Conflict {
      competing = List.copyOf(competing);
    }
  }

  /**
   * The changes may have been accepted, or may yet be; sending the same commit id again settles it.
   *
   * @param commit the commit id
   * @param reason what went wrong last
   */
  record Unknown(CommitId commit, String reason) implements CommitOutcome {}

  /**
   * The changes were not accepted, since the platform could not be reached.
   *
   * @param reason what went wrong last
   */
  record Unavailable(String reason) implements CommitOutcome {}

  /** Why a commit is in conflict. */
  enum Cause {
    /** Accepted versions since the base changed the same things. */
    BASE_CHANGED,
    /** So much was accepted since the base that it is not compared. */
    BASE_TOO_OLD,
    /** Others were accepted first each time that the commit was planned anew. */
    OVERTAKEN,
    /** The staged changes were altered during the commit. */
    STAGED_CHANGED,
    /** A further condition, such as a lease, no longer holds. */
    CONDITION_FAILED,
    /** The commit id was closed by an earlier refusal or conflict. */
    COMMIT_CLOSED
  }
}
