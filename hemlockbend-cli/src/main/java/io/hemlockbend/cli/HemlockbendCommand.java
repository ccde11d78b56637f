package io.hemlockbend.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The root command. */
@Command(
    name = "hemlockbend",
    version = "hemlockbend 0.1.0",
    mixinStandardHelpOptions = true,
    scope = ScopeType.INHERIT,
    sortOptions = false,
    description = "Stages, commits and shows the configuration of a service mesh.",
    footer = {
      "",
      "Each flag has an environment variable, which is used when the flag is not given:",
      "HEMLOCKBEND_ and the flag in upper case, such as HEMLOCKBEND_NODE for --node.",
      "",
      "Exit codes:",
      "  0  done",
      "  1  not done: refused, forbidden or in conflict",
      "  2  flags or settings not valid; nothing was sent",
      "  3  outcome unknown: may have been done, or may still be",
      "  4  no node answered, or the platform is away; nothing was done",
      "  5  accepted, but not seen in force everywhere before --timeout"
    },
    subcommands = {
      StageCommand.class,
      DiffCommand.class,
      CommitCommand.class,
      DiscardCommand.class,
      MoveCommand.class,
      WithdrawCommand.class,
      RestoreCommand.class,
      TakeBackCommand.class,
      ShowCommand.class,
      HistoryCommand.class,
      ExplainCommand.class,
      CompletionCommand.class
    })
final class HemlockbendCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is required");
  }
}
