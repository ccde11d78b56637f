package io.hemlockbend.node.admin;

import io.hemlockbend.core.acceptance.ChangeSet;
import io.hemlockbend.core.acceptance.CommitOutcome;
import io.hemlockbend.core.acceptance.CommitRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Executes a commit against the platform and announces it when it is accepted. */
@FunctionalInterface
public interface CommitExecutor {
  /**
   * Commits changes.
   *
   * @param request the author, the commit id and further conditions
   * @param direct the changes, or empty for those that the author has staged
   * @param resent whether an earlier request may have used the same commit id
   * @return the outcome; the future never fails
   */
  CompletableFuture<CommitOutcome> run(
      CommitRequest request, Optional<ChangeSet> direct, boolean resent);
}
