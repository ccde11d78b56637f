package io.hemlockbend.node.admin;

import io.hemlockbend.core.acceptance.ChangeSet;
import io.hemlockbend.core.acceptance.CommitOutcome;
import io.hemlockbend.core.acceptance.CommitRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Carries a commit out against the platform, and announces it when it is accepted. */
@FunctionalInterface
public interface CommitExecutor {
  /**
   * Commits changes.
   *
   * @param order who commits and under which id
   * @param direct the changes, or empty for those that the author has staged
   * @param resent whether the commit id may have been sent before
   * @return what became of the commit; never fails
   */
  CompletableFuture<CommitOutcome> run(
      CommitRequest order, Optional<ChangeSet> direct, boolean resent);
}
