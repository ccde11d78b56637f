package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.testkit.trace.TraceLine;
import io.hemlockbend.testkit.trace.TracePosition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks that no idempotency key ran more than once, across all upstreams. */
public final class AtMostOnceCheck implements OutcomeCheck {
  private final Map<IdempotencyKey, TracePosition> firstRuns = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  /** Creates the check. */
  public AtMostOnceCheck() {}

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.Run.class);
  }

  @Override
  public void accept(TraceLine line) {
    if (line.record() instanceof TraceRecord.Run run) {
      run.key().ifPresent(key -> recordRun(key, line.position()));
    }
  }

  private void recordRun(IdempotencyKey key, TracePosition position) {
    TracePosition first = firstRuns.putIfAbsent(key, position);
    if (first != null) {
      violations.add(new Violation.RepeatedRun(position, key, first));
    }
  }

  @Override
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
