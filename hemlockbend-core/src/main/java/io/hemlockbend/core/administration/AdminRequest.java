package io.hemlockbend.core.administration;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import java.util.List;
import java.util.Optional;

/** The request bodies; an empty {@code Optional} is {@code null} in JSON. */
public final class AdminRequest {
  private AdminRequest() {}

  /**
   * Identifies a commit across all its resends.
   *
   * @param id the commit id
   * @param resent whether a request with this id may have been sent before
   */
  public record CommitTag(CommitId id, boolean resent) {}

  /**
   * Stages changes.
   *
   * @param changes the changes in order
   */
  public record Stage(List<Change> changes) {}

  /**
   * Commits the staged changes.
   *
   * @param commit identifies the commit
   */
  public record Commit(CommitTag commit) {}

  /**
   * Moves a service's traffic.
   *
   * @param service the service
   * @param to the version that is to take the traffic
   * @param deadlineMillis when all traffic is due on that version, milliseconds since the epoch
   * @param commit the commit to make at once; empty to stage the change
   */
  public record Move(
      ServiceName service, VersionName to, long deadlineMillis, Optional<CommitTag> commit) {}

  /**
   * Takes a failure domain out of use.
   *
   * @param domain the failure domain
   * @param commit the commit to make at once; empty to stage the change
   */
  public record Withdraw(FailureDomain domain, Optional<CommitTag> commit) {}

  /**
   * Returns a withdrawn failure domain to use gradually.
   *
   * @param domain the failure domain
   * @param rampMillis the time until the domain is in full use
   * @param commit the commit to make at once; empty to stage the change
   */
  public record Restore(FailureDomain domain, long rampMillis, Optional<CommitTag> commit) {}

  /**
   * Takes a version back.
   *
   * @param key the version
   * @param replacement the version that takes the traffic when the one taken back is active
   * @param commit the commit to make at once; empty to stage the change
   */
  public record TakeBack(
      VersionKey key, Optional<VersionName> replacement, Optional<CommitTag> commit) {}
}
