package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.testkit.trace.TraceLine;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Checks that no caller got a damaged answer or one to another request. */
public final class AnswerIntegrityCheck implements OutcomeCheck {
  private static final Set<AnswerState> WRONG = Set.of(AnswerState.DAMAGED, AnswerState.CROSSED);

  private final List<Violation> violations = new ArrayList<>();

  /** Creates the check. */
  public AnswerIntegrityCheck() {}

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.Call.class);
  }

  @Override
  public void accept(TraceLine line) {
    if (line.record() instanceof TraceRecord.Call call && WRONG.contains(call.answer())) {
      violations.add(new Violation.WrongAnswer(line.position(), call.request(), call.answer()));
    }
  }

  @Override
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
