package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.testkit.trace.TraceLine;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks that no upstream exceeded its cold start limit, except for a grace period after an
 * unannounced cold start.
 */
public final class ColdStartCheck implements OutcomeCheck {
  private final StatedOutcomes outcomes;
  private final List<Violation> violations = new ArrayList<>();

  /** Creates the check. */
  public ColdStartCheck(StatedOutcomes outcomes) {
    this.outcomes = outcomes;
  }

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.ColdOverload.class);
  }

  @Override
  public void accept(TraceLine line) {
    if (line.record() instanceof TraceRecord.ColdOverload overload && !excused(overload)) {
      violations.add(new Violation.ColdStartOverloaded(line.position(), overload.upstream()));
    }
  }

  private boolean excused(TraceRecord.ColdOverload overload) {
    return outcomes.fallenCold().stream()
        .filter(coldStart -> coldStart.upstream().equals(overload.upstream()))
        .mapToLong(coldStart -> overload.atMillis() - coldStart.atMillis())
        .anyMatch(millis -> millis >= 0 && millis <= outcomes.coldGraceMillis());
  }

  @Override
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
