package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import picocli.CommandLine.Command;

/** Shows the configuration in force, and on which nodes. */
@Command(
    name = "show",
    description = "Show the configuration in force, on which nodes, and which nodes lag.")
final class ShowCommand extends AdminCommand {
  @Override
  Object send(AdminClient client) {
    return client.get(AdminPaths.SHOW, AdminResponse.Show.class);
  }
}
