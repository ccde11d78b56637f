package io.hemlockbend.core.administration;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.validation.Violation;
import java.util.List;
import java.util.Optional;

/**
 * The body of every answer that is not a success.
 *
 * @param problem why
 * @param message the same in words
 * @param faults every fault of the changes; empty when that is not the reason
 * @param competing the accepted versions that are in conflict with the changes
 * @param commit the commit id, when there is one
 */
public record Problem(
    ProblemKey problem,
    String message,
    List<Fault> faults,
    List<RowValue.History> competing,
    Optional<CommitId> commit) {

  /** Copies the lists. */
  public Problem {
    faults = List.copyOf(faults);
    competing = List.copyOf(competing);
  }

  /** Returns a problem that a message tells whole. */
  public static Problem of(ProblemKey key, String message) {
    return new Problem(key, message, List.of(), List.of(), Optional.empty());
  }

  /** Returns a refusal of changes. */
  public static Problem refused(ProblemKey key, List<Violation> violations) {
    return new Problem(
        key, "the changes are refused", Fault.of(violations), List.of(), Optional.empty());
  }

  /** Returns the same problem of a commit. */
  public Problem withCommit(CommitId id) {
    return new Problem(problem, message, faults, competing, Optional.of(id));
  }
}
