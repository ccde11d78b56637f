package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.api.ConfigurationVersion;
import java.io.PrintWriter;

/** Waits until an accepted version is in force on all live nodes, and prints progress. */
final class InForceWaiter {
  private final AdminClient client;
  private final PrintWriter progress;

  InForceWaiter(AdminClient client, PrintWriter progress) {
    this.client = client;
    this.progress = progress;
  }

  /** Returns OK, or NOT_EVERYWHERE when the version is not in force on all live nodes in time. */
  int await(ConfigurationVersion version) {
    String path = AdminPaths.PROGRESS + "?" + AdminPaths.VERSION + "=" + version;
    String printed = "";
    while (true) {
      AdminResponse.Progress current;
      try {
        current = client.get(path, AdminResponse.Progress.class);
      } catch (ClientException e) {
        if (e.exitCode() != ExitCodes.UNREACHABLE) {
          throw e;
        }
        if (!client.pause()) {
          progress.println("gave up waiting; the version is accepted; " + e.getMessage());
          return ExitCodes.NOT_EVERYWHERE;
        }
        continue;
      }
      String line =
          "version %s in force on %d of %d live nodes"
              .formatted(version, current.holding(), current.live());
      if (!line.equals(printed)) {
        progress.println(line);
        progress.flush();
        printed = line;
      }
      if (current.everywhere()) {
        return ExitCodes.OK;
      }
      if (!client.pause()) {
        progress.println(
            "gave up waiting; the version is accepted and will come into force; not yet on "
                + current.lagging());
        return ExitCodes.NOT_EVERYWHERE;
      }
    }
  }
}
