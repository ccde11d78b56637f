package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.testkit.replay.StatedOutcomes.Withdrawal;
import io.hemlockbend.testkit.trace.TraceLine;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Checks that no request started to run in a withdrawn failure domain after the grace period. */
public final class WithdrawnDomainCheck implements OutcomeCheck {
  private final StatedOutcomes outcomes;
  private final List<Violation> violations = new ArrayList<>();

  /** Creates the check. */
  public WithdrawnDomainCheck(StatedOutcomes outcomes) {
    this.outcomes = outcomes;
  }

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.Run.class);
  }

  @Override
  public void accept(TraceLine line) {
    if (line.record() instanceof TraceRecord.Run run) {
      FailureDomain domain = outcomes.placement().get(run.upstream());
      outcomes.withdrawals().stream()
          .filter(withdrawal -> withdrawal.domain().equals(domain))
          .filter(withdrawal -> withdrawal.window().contains(run.atMillis()))
          .forEach(withdrawal -> checkGrace(withdrawal, run, line));
    }
  }

  private void checkGrace(Withdrawal withdrawal, TraceRecord.Run run, TraceLine line) {
    long graceEndMillis = withdrawal.window().fromMillis() + outcomes.withdrawalGraceMillis();
    if (run.atMillis() > graceEndMillis) {
      violations.add(
          new Violation.WorkInWithdrawnDomain(
              line.position(),
              withdrawal.domain(),
              run.upstream(),
              run.atMillis() - graceEndMillis));
    }
  }

  @Override
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
