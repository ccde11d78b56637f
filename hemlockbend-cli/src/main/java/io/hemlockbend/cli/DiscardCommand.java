package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import picocli.CommandLine.Command;

/** Discards all staged changes. */
@Command(name = "discard", description = "Discard all staged changes.")
final class DiscardCommand extends AdminCommand {
  @Override
  Object send(AdminClient client) {
    return client.postIdempotent(AdminPaths.DISCARD, resent -> null, AdminResponse.Staged.class);
  }
}
