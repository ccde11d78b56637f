package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import picocli.CommandLine.Command;

/** Shows what is in force, and where. */
@Command(name = "show", description = "Show what is in force, on which nodes, and which lag.")
final class ShowCommand extends AdminCommand {
  @Override
  Object ask(AdminClient client) {
    return client.get(AdminPaths.SHOW, AdminResponse.Show.class);
  }
}
