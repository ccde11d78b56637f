package io.hemlockbend.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that sends a request to a node and prints the response. */
abstract class AdminCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;
  @Mixin private ConnectionOptions connection;

  /** Sends the request and returns the response, which is printed. */
  abstract Object send(AdminClient client);

  @Override
  public Integer call() {
    try (AdminClient client = connection.client(spec.commandLine().getErr())) {
      ResponsePrinter.print(send(client), connection.output(), spec.commandLine().getOut());
      return afterResponse(client);
    }
  }

  /** Runs after the response is printed and returns the exit code. */
  int afterResponse(AdminClient client) {
    return ExitCodes.OK;
  }

  CommandSpec spec() {
    return spec;
  }
}
