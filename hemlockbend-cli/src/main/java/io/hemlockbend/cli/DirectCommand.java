package io.hemlockbend.cli;

import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** A change with a path of its own, which is staged, or committed at once. */
abstract class DirectCommand extends CommittingCommand {
  @Option(names = "--commit", description = "Commit this change at once instead of staging it.")
  private boolean commit;

  @Override
  boolean commits() {
    boolean staging = spec().parent() != null && spec().parent().name().equals("stage");
    if (staging && commit) {
      throw new ParameterException(
          spec().commandLine(), "'stage' does not commit; leave 'stage' or --commit out");
    }
    return commit;
  }
}
