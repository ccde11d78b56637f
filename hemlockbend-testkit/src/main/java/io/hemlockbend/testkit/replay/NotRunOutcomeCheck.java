package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.CallOutcome;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.testkit.trace.TraceLine;
import io.hemlockbend.testkit.trace.TracePosition;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks that no request ran if all its sends were refused as not run. A request that was refused
 * and then sent again with another outcome may have run on the later send.
 */
public final class NotRunOutcomeCheck implements OutcomeCheck {
  private final Map<RequestId, TracePosition> refusals = new TreeMap<>();
  private final Set<RequestId> otherOutcomes = new HashSet<>();
  private final Map<RequestId, TracePosition> runs = new HashMap<>();

  /** Creates the check. */
  public NotRunOutcomeCheck() {}

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.Call.class, TraceRecord.Run.class);
  }

  @Override
  public void accept(TraceLine line) {
    switch (line.record()) {
      case TraceRecord.Call call -> recordCall(call, line.position());
      case TraceRecord.Run run ->
          run.request().ifPresent(request -> runs.putIfAbsent(request, line.position()));
      default -> throw new IllegalArgumentException("unexpected record type: " + line);
    }
  }

  private void recordCall(TraceRecord.Call call, TracePosition position) {
    boolean notRun = call.outcome().filter(CallOutcome.NOT_RUN::equals).isPresent();
    if (notRun) {
      refusals.putIfAbsent(call.request(), position);
    } else {
      otherOutcomes.add(call.request());
    }
  }

  @Override
  public List<Violation> violations() {
    return refusals.entrySet().stream()
        .filter(refusal -> !otherOutcomes.contains(refusal.getKey()))
        .filter(refusal -> runs.containsKey(refusal.getKey()))
        .<Violation>map(
            refusal ->
                new Violation.FalseNotRun(
                    refusal.getValue(), refusal.getKey(), runs.get(refusal.getKey())))
        .toList();
  }
}
