package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminAnswer;
import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.MemberStatus;
import java.io.PrintWriter;
import java.util.List;

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
    String drawn = "";
    while (true) {
      AdminAnswer.Show show = client.get(AdminPaths.SHOW, AdminAnswer.Show.class);
      List<AdminAnswer.NodeLine> live =
          show.nodes().stream().filter(node -> node.status() == MemberStatus.ALIVE).toList();
      long behind = live.stream().filter(node -> version.newerThan(node.applied())).count();
      boolean done = behind == 0 && !version.newerThan(show.inForce());
      String line =
          "version %s in force on %d of %d live nodes"
              .formatted(version, live.size() - behind, live.size());
      if (!line.equals(drawn)) {
        progress.println(line);
        progress.flush();
        drawn = line;
      }
      if (done) {
        return ExitCodes.OK;
      }
      if (!client.pause()) {
        progress.println("gave up waiting; the version is accepted and will come in force");
        return ExitCodes.NOT_EVERYWHERE;
      }
    }
  }
}
