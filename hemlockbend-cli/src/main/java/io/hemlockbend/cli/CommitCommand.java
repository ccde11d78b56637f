package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminRequest;
import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import java.util.Optional;
import picocli.CommandLine.Command;

/** Commits all staged changes. */
@Command(name = "commit", description = "Commit all staged changes together.")
final class CommitCommand extends CommittingCommand {
  @Override
  String path() {
    return AdminPaths.COMMIT;
  }

  @Override
  boolean commits() {
    return true;
  }

  @Override
  Object body(Optional<CommitTag> tag) {
    return new AdminRequest.Commit(tag.orElseThrow());
  }
}
