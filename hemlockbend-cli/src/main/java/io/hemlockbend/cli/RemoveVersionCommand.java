package io.hemlockbend.cli;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Stages the removal of an upstream version. */
@Command(
    name = "remove-version",
    description = "Stage removing an upstream version; removing the last one removes the service.")
final class RemoveVersionCommand extends StagingCommand {
  @Parameters(index = "0", paramLabel = "SERVICE", description = "The service.")
  private ServiceName service;

  @Parameters(index = "1", paramLabel = "VERSION", description = "The version.")
  private VersionName version;

  @Override
  Change change() {
    return new Change.RemoveVersion(new VersionKey(service, version));
  }
}
