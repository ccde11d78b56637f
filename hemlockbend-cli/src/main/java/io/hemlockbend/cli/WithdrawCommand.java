package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminRequest;
import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import io.hemlockbend.core.api.FailureDomain;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Withdraws a failure domain. */
@Command(name = "withdraw", description = "Withdraw a failure domain: it receives no new requests.")
final class WithdrawCommand extends DirectCommand {
  @Parameters(paramLabel = "DOMAIN", description = "The failure domain.")
  private FailureDomain domain;

  @Override
  String path() {
    return AdminPaths.WITHDRAW;
  }

  @Override
  Object body(Optional<CommitTag> tag) {
    return new AdminRequest.Withdraw(domain, tag);
  }
}
