package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminRequest;
import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Takes a version back. */
@Command(name = "take-back", description = "Take a version back: it receives no more traffic.")
final class TakeBackCommand extends DirectCommand {
  @Parameters(index = "0", paramLabel = "SERVICE", description = "The service.")
  private ServiceName service;

  @Parameters(index = "1", paramLabel = "VERSION", description = "The version.")
  private VersionName version;

  @Option(
      names = "--replacement",
      description = "The version that takes the traffic when the one taken back is active.")
  private VersionName replacement;

  @Override
  String path() {
    return AdminPaths.TAKE_BACK;
  }

  @Override
  Object body(Optional<CommitTag> tag) {
    return new AdminRequest.TakeBack(
        new VersionKey(service, version), Optional.ofNullable(replacement), tag);
  }
}
