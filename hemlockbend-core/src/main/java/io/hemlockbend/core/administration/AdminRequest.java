package io.hemlockbend.core.administration;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import java.util.List;
import java.util.Optional;

/** The bodies of requests; a property that is absent here is {@code null} there. */
public final class AdminRequest {
  private AdminRequest() {}

  /**
   * Identifies a commit over all its resends.
   *
   * @param id the commit id
   * @param resent whether a request with this id may have been sent before
   */
  public record CommitTag(CommitId id, boolean resent) {}

  /**
   * Stages changes.
   *
   * @param changes the changes in their order
   */
  public record Stage(List<Change> changes) {}

  /**
   * Commits what is staged.
   *
   * @param commit identifies the commit
   */
  public record Commit(CommitTag commit) {}

  /**
   * Moves a service's traffic.
   *
   * @param service the service
   * @param to the version that is to take the traffic
   * @param deadlineMillis when all of it is due there, milliseconds since the epoch
   * @param commit to commit at once; empty to stage
   */
  public record Move(
      ServiceName service, VersionName to, long deadlineMillis, Optional<CommitTag> commit) {}

  /**
   * Takes a failure domain out.
   *
   * @param domain the failure domain
   * @param commit to commit at once; empty to stage
   */
  public record Withdraw(FailureDomain domain, Optional<CommitTag> commit) {}

  /**
   * Brings a failure domain back.
   *
   * @param domain the failure domain
   * @param rampMillis how long until full use
   * @param commit to commit at once; empty to stage
   */
  public record Restore(FailureDomain domain, long rampMillis, Optional<CommitTag> commit) {}

  /**
   * Takes a version back.
   *
   * @param key the version
   * @param replacement the version that takes the traffic when the one taken back is active
   * @param commit to commit at once; empty to stage
   */
  public record TakeBack(
      VersionKey key, Optional<VersionName> replacement, Optional<CommitTag> commit) {}
}
