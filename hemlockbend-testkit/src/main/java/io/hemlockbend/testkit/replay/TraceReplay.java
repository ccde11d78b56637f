package io.hemlockbend.testkit.replay;

import io.hemlockbend.testkit.trace.TraceLine;
import java.util.List;

/** Runs checks on the lines of a trace; used by one thread. */
public final class TraceReplay {
  private final List<OutcomeCheck> checks;

  /**
   * Creates a replay.
   *
   * @param checks the checks to run
   */
  public TraceReplay(List<OutcomeCheck> checks) {
    this.checks = List.copyOf(checks);
  }

  /** Returns one check of each rule, for the stated outcomes. */
  public static List<OutcomeCheck> allChecks(StatedOutcomes outcomes) {
    return List.of(
        new AnswerIntegrityCheck(),
        new AnswerCompletionCheck(outcomes),
        new AtMostOnceCheck(),
        new NotRunOutcomeCheck(),
        new WithdrawnDomainCheck(outcomes),
        new LeavingUpstreamCheck(outcomes),
        new ColdStartCheck(outcomes),
        new MonotonicConfigurationCheck(),
        new ConvergenceCheck(outcomes),
        new BadVersionShareCheck(outcomes));
  }

  /** Passes a line to each check that needs its record type. */
  public void accept(TraceLine line) {
    for (OutcomeCheck check : checks) {
      if (check.recordTypes().contains(line.record().getClass())) {
        check.accept(line);
      }
    }
  }

  /** Returns all violations, in the order of the checks. */
  public List<Violation> violations() {
    return checks.stream().flatMap(check -> check.violations().stream()).toList();
  }
}
