package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.api.ConfigurationVersion;
import java.io.PrintWriter;

/** Follows an accepted version until all live nodes have it in force, and draws progress. */
final class InForceWaiter {
  private final AdminClient client;
  private final PrintWriter progress;

  InForceWaiter(AdminClient client, PrintWriter progress) {
    this.client = client;
    this.progress = progress;
  }

  /** Returns the exit code: whether the version came in force everywhere before the timeout. */
  int await(ConfigurationVersion version) {
    String path = AdminPaths.PROGRESS + "?" + AdminPaths.VERSION + "=" + version;
    String drawn = "";
    while (true) {
      AdminResponse.Progress now;
      try {
        now = client.get(path, AdminResponse.Progress.class);
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
              .formatted(version, now.holding(), now.live());
      if (!line.equals(drawn)) {
        progress.println(line);
        progress.flush();
        drawn = line;
      }
      if (now.everywhere()) {
        return ExitCodes.OK;
      }
      if (!client.pause()) {
        progress.println(
            "gave up waiting; the version is accepted and will come in force; not yet on "
                + now.lagging());
        return ExitCodes.NOT_EVERYWHERE;
      }
    }
  }
}
