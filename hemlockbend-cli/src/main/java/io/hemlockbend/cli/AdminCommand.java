package io.hemlockbend.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that asks a node and prints its answer. */
abstract class AdminCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;
  @Mixin private ConnectionOptions connection;

  /** Asks the node; what it returns is printed. */
  abstract Object ask(AdminClient client);

  @Override
  public Integer call() {
    try (AdminClient client = connection.client(spec.commandLine().getErr())) {
      AnswerPrinter.print(ask(client), connection.output(), spec.commandLine().getOut());
      return afterAnswer(client);
    }
  }

  /** Does what follows the answer and returns the exit code. */
  int afterAnswer(AdminClient client) {
    return ExitCodes.OK;
  }

  CommandSpec spec() {
    return spec;
  }
}
