package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import picocli.CommandLine.Command;

/** Compares the staged changes with the configuration in force. */
@Command(name = "diff", description = "Show the effect of the staged changes.")
final class DiffCommand extends AdminCommand {
  @Override
  Object send(AdminClient client) {
    return client.get(AdminPaths.DIFF, AdminResponse.Staged.class);
  }
}
