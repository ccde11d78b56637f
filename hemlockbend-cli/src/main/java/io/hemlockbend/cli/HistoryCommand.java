package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Lists accepted versions. */
@Command(name = "history", description = "List accepted versions, the newest last.")
final class HistoryCommand extends AdminCommand {
  @Option(names = "--limit", description = "The number of versions, 1 to 1000; default 20.")
  private int limit = 20;

  @Override
  Object send(AdminClient client) {
    String path = AdminPaths.HISTORY + "?" + AdminPaths.LIMIT + "=" + limit;
    return client.get(path, AdminResponse.History.class);
  }
}
