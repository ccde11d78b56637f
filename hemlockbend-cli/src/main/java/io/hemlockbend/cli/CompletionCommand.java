package io.hemlockbend.cli;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints the shell's completion script. */
@Command(
    name = "completion",
    description = "Print a completion script for bash and zsh: source <(hemlockbend completion).")
final class CompletionCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    CommandLine root = spec.root().commandLine();
    spec.commandLine().getOut().print(AutoComplete.bash(root.getCommandName(), root));
  }
}
