package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminRequest;
import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionName;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Moves a service's traffic to a version. */
@Command(name = "move", description = "Move a service's traffic to a version by a deadline.")
final class MoveCommand extends DirectCommand {
  @Parameters(index = "0", paramLabel = "SERVICE", description = "The service.")
  private ServiceName service;

  @Parameters(index = "1", paramLabel = "VERSION", description = "The version to move to.")
  private VersionName version;

  @Option(
      names = "--deadline",
      required = true,
      description = "Deadline for moving all traffic: a duration (15m) or an instant (UTC, ISO).")
  private Deadline deadline;

  @Override
  String path() {
    return AdminPaths.MOVE;
  }

  @Override
  Object body(Optional<CommitTag> tag) {
    return new AdminRequest.Move(service, version, deadline.millis(), tag);
  }
}
