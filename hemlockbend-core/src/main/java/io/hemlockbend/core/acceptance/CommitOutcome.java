package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.validation.Violation;
import java.util.List;
import java.util.Optional;

/** The outcome of a commit as reported to the operator. */
public sealed interface CommitOutcome {

  /**
   * The changes were accepted; this is final.
   *
   * @param mark the version and digest of the resulting configuration
   * @param changes the changes as they were accepted
   * @param plan the accepted plan; empty when another node committed under the same commit id
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
   * @param violations all violations found
   */
  record Refused(List<Violation> violations) implements CommitOutcome {

    /** Copies the list. */
    public Refused {
      violations = List.copyOf(violations);
    }
  }

  /**
   * The changes were not accepted because of a concurrent change.
   *
   * @param cause the cause of the conflict
   * @param base the version that the changes are based on
   * @param current the version in force
   * @param competing the accepted versions whose changes overlap with these
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
   * The changes may have been accepted or may still be; resending the same commit id determines the
   * outcome.
   *
   * @param commit the commit id
   * @param reason the last failure
   */
  record Unknown(CommitId commit, String reason) implements CommitOutcome {}

  /**
   * The changes were not accepted because the platform could not be reached.
   *
   * @param reason the last failure
   */
  record Unavailable(String reason) implements CommitOutcome {}

  /** The cause of a conflict. */
  enum Cause {
    /** Versions accepted since the base overlap with the changes. */
    BASE_CHANGED,
    /**
     * The base is too many versions old or newer than the current one, or history rows are missing.
     */
    BASE_TOO_OLD,
    /** Other commits were accepted first on every attempt to plan this one. */
    OVERTAKEN,
    /** The staged changes were modified during the commit. */
    STAGED_CHANGED,
    /** An additional condition, such as a lease, no longer holds. */
    CONDITION_FAILED,
    /** The commit id was closed by an earlier refusal or conflict. */
    COMMIT_CLOSED
  }
}
