package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.model.Change;
import java.util.Optional;

/** Decision of the rollout controller; its driver commits the change and logs the reason. */
public sealed interface RolloutDecision {
  /** Returns the reason, for the log. */
  String reason();

  /** Returns the change to commit, or empty when the decision is to wait. */
  Optional<Change> change();

  /**
   * Opens the next step of a move.
   *
   * @param step the change
   * @param reason why it opens now
   */
  record Advance(Change.AdvanceMove step, String reason) implements RolloutDecision {
    @Override
    public Optional<Change> change() {
      return Optional.of(step);
    }
  }

  /**
   * Takes a bad version back.
   *
   * @param takeBack the change
   * @param reason why the version is bad
   */
  record TakeBack(Change.TakeBack takeBack, String reason) implements RolloutDecision {
    @Override
    public Optional<Change> change() {
      return Optional.of(takeBack);
    }
  }

  /**
   * Ends a restore whose domain is in full use again.
   *
   * @param finish the change
   * @param reason why the restore is complete
   */
  record FinishRestore(Change.FinishRestore finish, String reason) implements RolloutDecision {
    @Override
    public Optional<Change> change() {
      return Optional.of(finish);
    }
  }

  /**
   * Makes no change yet.
   *
   * @param service the service concerned
   * @param cause what it waits for
   * @param reason the details
   */
  record Wait(ServiceName service, WaitCause cause, String reason) implements RolloutDecision {
    @Override
    public Optional<Change> change() {
      return Optional.empty();
    }
  }
}
