package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.model.Change;
import java.util.Optional;

/** What the rollout controller wants done; the shell commits the change and logs the reason. */
public sealed interface RolloutDecision {
  /** Returns why, for the log. */
  String reason();

  /** Returns the change to commit, or empty when there is nothing to do yet. */
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
   * @param reason what speaks against the version
   */
  record TakeBack(Change.TakeBack takeBack, String reason) implements RolloutDecision {
    @Override
    public Optional<Change> change() {
      return Optional.of(takeBack);
    }
  }

  /**
   * Ends a restore that has reached full use.
   *
   * @param finish the change
   * @param reason why
   */
  record FinishRestore(Change.FinishRestore finish, String reason) implements RolloutDecision {
    @Override
    public Optional<Change> change() {
      return Optional.of(finish);
    }
  }

  /**
   * Leaves a move as it is for now.
   *
   * @param service the service that moves
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
