package io.hemlockbend.core.administration;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.validation.Violation;
import java.util.List;
import java.util.Optional;

/**
 * The body of every response that reports a failure.
 *
 * @param problem the reason
 * @param message the reason as text for operators
 * @param faults all faults of the changes; empty when the reason is another
 * @param competing the accepted versions that conflict with the changes
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

  /** Returns a problem with a message only. */
  public static Problem of(ProblemKey key, String message) {
    return new Problem(key, message, List.of(), List.of(), Optional.empty());
  }

  /** Returns a problem for changes that violate rules. */
  public static Problem refused(ProblemKey key, List<Violation> violations) {
    return new Problem(
        key, "the changes are refused", Fault.of(violations), List.of(), Optional.empty());
  }

  /** Returns this problem with a commit id. */
  public Problem withCommit(CommitId id) {
    return new Problem(problem, message, faults, competing, Optional.of(id));
  }
}
