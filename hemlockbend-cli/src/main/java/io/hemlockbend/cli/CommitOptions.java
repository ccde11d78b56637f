package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import io.hemlockbend.core.api.CommitId;
import java.util.UUID;
import picocli.CommandLine.Option;

/** The flags of a commit. */
final class CommitOptions {
  @Option(
      names = "--commit-id",
      paramLabel = "ID",
      description = "The id of an earlier attempt with an unknown outcome; by default a new id.")
  private CommitId given;

  @Option(
      names = "--wait",
      description = "Wait until the version is in force on all live nodes, for at most --timeout.")
  private boolean wait;

  private CommitId id;

  CommitId id() {
    if (id == null) {
      id = given == null ? new CommitId(UUID.randomUUID().toString()) : given;
    }
    return id;
  }

  /**
   * Returns the tag of an attempt; an id given by flag may have been sent by an earlier process.
   */
  CommitTag tag(boolean resent) {
    return new CommitTag(id(), resent || given != null);
  }

  boolean waits() {
    return wait;
  }
}
