package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.testkit.trace.TraceLine;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Checks that no answer is cut off or missing, except for calls that overlap a stated crash. */
public final class AnswerCompletionCheck implements OutcomeCheck {
  private static final Set<AnswerState> INCOMPLETE = Set.of(AnswerState.BROKEN, AnswerState.NONE);

  private final List<StatedOutcomes.Window> crashes;
  private final List<Violation> violations = new ArrayList<>();

  /** Creates the check. */
  public AnswerCompletionCheck(StatedOutcomes outcomes) {
    crashes = outcomes.crashes();
  }

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.Call.class);
  }

  @Override
  public void accept(TraceLine line) {
    if (line.record() instanceof TraceRecord.Call call
        && INCOMPLETE.contains(call.answer())
        && !excused(call)) {
      violations.add(new Violation.CutRequest(line.position(), call.request(), call.answer()));
    }
  }

  private boolean excused(TraceRecord.Call call) {
    return crashes.stream().anyMatch(crash -> crash.overlaps(call.atMillis(), call.endMillis()));
  }

  @Override
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
