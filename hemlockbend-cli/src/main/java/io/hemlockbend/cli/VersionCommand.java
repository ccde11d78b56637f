package io.hemlockbend.cli;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Stages an upstream version. */
@Command(
    name = "version",
    description = "Stage an upstream version, new or usable again after it was taken back.")
final class VersionCommand extends StagingCommand {
  @Parameters(index = "0", paramLabel = "SERVICE", description = "The service.")
  private ServiceName service;

  @Parameters(index = "1", paramLabel = "VERSION", description = "The version.")
  private VersionName version;

  @Option(
      names = "--owner",
      required = true,
      description = "The team that owns the service; used only when the service is new.")
  private TeamName owner;

  @Override
  Change change() {
    return new Change.AddVersion(new VersionKey(service, version), owner);
  }
}
