package io.hemlockbend.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Groups the commands that stage a change. */
@Command(
    name = "stage",
    description = "Stage a change until it is committed.",
    subcommands = {
      RouteCommand.class,
      RemoveRouteCommand.class,
      VersionCommand.class,
      RemoveVersionCommand.class,
      MoveCommand.class,
      WithdrawCommand.class,
      RestoreCommand.class,
      TakeBackCommand.class
    })
final class StageCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "the change to stage is required");
  }
}
