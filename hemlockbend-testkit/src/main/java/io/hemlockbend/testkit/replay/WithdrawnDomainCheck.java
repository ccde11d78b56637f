package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.testkit.replay.StatedOutcomes.Withdrawal;
import io.hemlockbend.testkit.trace.TraceLine;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Checks that no work started in a failure domain once it was out and the grace had passed. */
public final class WithdrawnDomainCheck implements OutcomeCheck {
  private final StatedOutcomes outcomes;
  private final List<Violation> violations = new ArrayList<>();

  /** Makes the check. */
  public WithdrawnDomainCheck(StatedOutcomes outcomes) {
    this.outcomes = outcomes;
  }

  @Override
  public Set<Class<? extends TraceRecord>> wants() {
    return Set.of(TraceRecord.Run.class);
  }

  @Override
  public void see(TraceLine line) {
    if (line.record() instanceof TraceRecord.Run run) {
      FailureDomain domain = outcomes.placement().get(run.upstream());
      outcomes.withdrawals().stream()
          .filter(withdrawal -> withdrawal.domain().equals(domain))
          .filter(withdrawal -> withdrawal.window().contains(run.atMillis()))
          .forEach(withdrawal -> requireGrace(withdrawal, run, line));
    }
  }

  private void requireGrace(Withdrawal withdrawal, TraceRecord.Run run, TraceLine line) {
    long lastMillis = withdrawal.window().fromMillis() + outcomes.withdrawalGraceMillis();
    if (run.atMillis() > lastMillis) {
      violations.add(
          new Violation.WorkInWithdrawnDomain(
              line.position(), withdrawal.domain(), run.upstream(), run.atMillis() - lastMillis));
    }
  }

  @Override
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
