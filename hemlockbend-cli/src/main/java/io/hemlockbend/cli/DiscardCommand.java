package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import picocli.CommandLine.Command;

/** Forgets what is staged. */
@Command(name = "discard", description = "Forget all staged changes.")
final class DiscardCommand extends AdminCommand {
  @Override
  Object ask(AdminClient client) {
    return client.postIdempotent(AdminPaths.DISCARD, resent -> null, AdminResponse.Staged.class);
  }
}
