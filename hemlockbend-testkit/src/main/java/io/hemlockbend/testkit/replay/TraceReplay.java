package io.hemlockbend.testkit.replay;

import io.hemlockbend.testkit.trace.TraceLine;
import java.util.List;

/** Runs checks over the lines of a trace; driven by one thread. */
public final class TraceReplay {
  private final List<OutcomeCheck> checks;

  /**
   * Makes a replay.
   *
   * @param checks what to check
   */
  public TraceReplay(List<OutcomeCheck> checks) {
    this.checks = List.copyOf(checks);
  }

  /** Returns every check there is, for the outcomes stated. */
  public static List<OutcomeCheck> allChecks(StatedOutcomes outcomes) {
    return List.of(
        new WholeAnswerCheck(),
        new UncutRequestCheck(outcomes),
        new AtMostOnceCheck(),
        new NotRunIsTrueCheck(),
        new WithdrawnDomainCheck(outcomes),
        new LeavingUpstreamCheck(outcomes),
        new ColdStartCheck(outcomes),
        new NeverOlderCheck(),
        new ConvergenceCheck(outcomes),
        new BadVersionShareCheck(outcomes));
  }

  /** Gives a line to each check that wants its type. */
  public void see(TraceLine line) {
    for (OutcomeCheck check : checks) {
      if (check.wants().contains(line.record().getClass())) {
        check.see(line);
      }
    }
  }

  /** Returns all violations, check by check. */
  public List<Violation> violations() {
    return checks.stream().flatMap(check -> check.violations().stream()).toList();
  }
}
