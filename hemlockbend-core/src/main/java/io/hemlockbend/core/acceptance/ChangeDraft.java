package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.ChangeException;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.validation.Violation;
import io.hemlockbend.core.validation.ViolationKey;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies changes one by one and collects the violations of all of them, whereas applying them as a
 * list stops at the first failure. A change that depends on a rejected change is reported too.
 */
public final class ChangeDraft {
  private final Author author;
  private final long nowMillis;
  private final List<Change> accepted = new ArrayList<>();
  private final List<Violation> violations = new ArrayList<>();
  private Configuration draft;

  private ChangeDraft(Configuration base, Author author, long nowMillis) {
    this.draft = base;
    this.author = author;
    this.nowMillis = nowMillis;
  }

  /**
   * Applies changes to a configuration.
   *
   * @param base the configuration to start from
   * @param changes the changes in their order
   * @param author the author of the changes
   * @param nowMillis the start time of the changes, milliseconds since the epoch
   */
  public static ChangeDraft of(
      Configuration base, List<Change> changes, Author author, long nowMillis) {
    ChangeDraft result = new ChangeDraft(base, author, nowMillis);
    for (int i = 0; i < changes.size(); i++) {
      result.attempt(i + 1, changes.get(i));
    }
    return result;
  }

  private void attempt(int number, Change change) {
    Change stamped = withStartTime(change);
    List<Violation> found = new ArrayList<>(ServiceOwnership.check(draft, stamped, author));
    if (stamped instanceof Change.StartMove start && start.deadlineMillis() <= nowMillis) {
      found.add(
          Violation.of(
              ViolationKey.DEADLINE_PASSED,
              "move of " + start.service(),
              start.deadlineMillis(),
              nowMillis));
    }
    if (found.isEmpty()) {
      found.addAll(apply(number, stamped));
    }
    violations.addAll(found);
  }

  private List<Violation> apply(int number, Change change) {
    try {
      draft = ChangeApplier.apply(draft, List.of(change));
      accepted.add(change);
      return List.of();
    } catch (ChangeException | IllegalArgumentException e) {
      return List.of(
          Violation.of(
              ViolationKey.CHANGE_NOT_APPLICABLE,
              "change " + number + " (" + change.getClass().getSimpleName() + ")",
              e.getMessage()));
    }
  }

  /** Sets the start time: changes start when they are committed, not when they were staged. */
  private Change withStartTime(Change change) {
    return switch (change) {
      case Change.StartMove start ->
          new Change.StartMove(start.service(), start.to(), nowMillis, start.deadlineMillis());
      case Change.Withdraw withdraw -> new Change.Withdraw(withdraw.domain(), nowMillis);
      case Change.Restore restore ->
          new Change.Restore(restore.domain(), nowMillis, restore.rampMillis());
      default -> change;
    };
  }

  /** Returns the applicable changes with their start times set. */
  public List<Change> accepted() {
    return List.copyOf(accepted);
  }

  /** Returns the violations; empty when all changes are applicable. */
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
