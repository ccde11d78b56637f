package io.hemlockbend.cli;

import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** A command for a change with an API path of its own, which is staged, or committed at once. */
abstract class DirectCommand extends CommittingCommand {
  @Option(names = "--commit", description = "Commit this change at once instead of staging it.")
  private boolean commit;

  @Override
  boolean commits() {
    boolean staging = spec().parent() != null && spec().parent().name().equals("stage");
    if (staging && commit) {
      throw new ParameterException(
          spec().commandLine(), "'stage' does not commit; omit 'stage' or --commit");
    }
    return commit;
  }
}
