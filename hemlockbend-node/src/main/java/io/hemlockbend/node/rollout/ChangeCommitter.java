package io.hemlockbend.node.rollout;

import io.hemlockbend.core.acceptance.CommitOutcome;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.table.Condition;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Commits changes of the rollout controller. */
@FunctionalInterface
public interface ChangeCommitter {
  /**
   * Commits the changes atomically.
   *
   * @param mesh the control state; read before the call returns
   * @param changes the changes
   * @param conditions additional conditions, such as that the lease is still held
   * @return the outcome of the commit; never completes exceptionally
   */
  CompletableFuture<CommitOutcome> commit(
      MeshAccess mesh, List<Change> changes, List<Condition> conditions);
}
