package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.testkit.replay.StatedOutcomes.Leaving;
import io.hemlockbend.testkit.trace.TraceLine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks that no request started to run on a leaving upstream after the grace period. */
public final class LeavingUpstreamCheck implements OutcomeCheck {
  private final Map<UpstreamId, Long> graceEndMillis = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  /** Creates the check. */
  public LeavingUpstreamCheck(StatedOutcomes outcomes) {
    for (Leaving leaving : outcomes.leavings()) {
      graceEndMillis.put(leaving.upstream(), leaving.atMillis() + outcomes.leavingGraceMillis());
    }
  }

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.Run.class);
  }

  @Override
  public void accept(TraceLine line) {
    if (line.record() instanceof TraceRecord.Run run) {
      long lateMillis =
          run.atMillis() - graceEndMillis.getOrDefault(run.upstream(), Long.MAX_VALUE);
      if (lateMillis > 0) {
        violations.add(
            new Violation.WorkOnLeavingUpstream(line.position(), run.upstream(), lateMillis));
      }
    }
  }

  @Override
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
