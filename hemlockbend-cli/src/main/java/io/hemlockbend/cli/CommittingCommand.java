package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import io.hemlockbend.core.administration.AdminResponse;
import java.util.Optional;
import picocli.CommandLine.Mixin;

/** A command that commits, or stages a change when it is not to commit. */
abstract class CommittingCommand extends AdminCommand {
  @Mixin private CommitOptions options;
  private AdminResponse.Accepted accepted;

  /** Returns the API path of the command. */
  abstract String path();

  /** Returns the request body; the tag is present when the command commits. */
  abstract Object body(Optional<CommitTag> tag);

  /** Returns whether to commit at once. */
  abstract boolean commits();

  @Override
  Object send(AdminClient client) {
    if (!commits()) {
      return client.post(path(), body(Optional.empty()), AdminResponse.Staged.class);
    }
    spec().commandLine().getErr().println("commit id " + options.id());
    accepted =
        client.postIdempotent(
            path(), resent -> body(Optional.of(options.tag(resent))), AdminResponse.Accepted.class);
    return accepted;
  }

  @Override
  int afterResponse(AdminClient client) {
    if (accepted == null || !options.waits()) {
      return ExitCodes.OK;
    }
    return new InForceWaiter(client, spec().commandLine().getErr()).await(accepted.version());
  }
}
