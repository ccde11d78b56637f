package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import picocli.CommandLine.Command;

/** Compares what is staged with what is in force. */
@Command(name = "diff", description = "Show what the staged changes would alter.")
final class DiffCommand extends AdminCommand {
  @Override
  Object ask(AdminClient client) {
    return client.get(AdminPaths.DIFF, AdminResponse.Staged.class);
  }
}
