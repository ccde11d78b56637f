package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminRequest;
import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import io.hemlockbend.core.api.FailureDomain;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Restores a failure domain. */
@Command(name = "restore", description = "Restore a withdrawn failure domain gradually.")
final class RestoreCommand extends DirectCommand {
  @Parameters(paramLabel = "DOMAIN", description = "The failure domain.")
  private FailureDomain domain;

  @Option(names = "--ramp", description = "The time until full use; default 60s.")
  private TimeSpan ramp = new TimeSpan(60_000);

  @Override
  String path() {
    return AdminPaths.RESTORE;
  }

  @Override
  Object body(Optional<CommitTag> tag) {
    return new AdminRequest.Restore(domain, ramp.millis(), tag);
  }
}
