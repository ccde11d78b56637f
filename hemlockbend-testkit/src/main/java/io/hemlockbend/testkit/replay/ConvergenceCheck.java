package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.testkit.replay.StatedOutcomes.Accepted;
import io.hemlockbend.testkit.trace.TraceLine;
import io.hemlockbend.testkit.trace.TracePosition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks that each node applies each accepted configuration, or a newer one, in time. */
public final class ConvergenceCheck implements OutcomeCheck {
  private static final TracePosition NO_LINE = new TracePosition("end of trace", 0);

  private final StatedOutcomes outcomes;
  private final Map<NodeId, List<TraceLine>> appliedByNode = new HashMap<>();

  /** Creates the check. */
  public ConvergenceCheck(StatedOutcomes outcomes) {
    this.outcomes = outcomes;
  }

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.Applied.class);
  }

  @Override
  public void accept(TraceLine line) {
    if (line.record() instanceof TraceRecord.Applied record) {
      appliedByNode.computeIfAbsent(record.node(), node -> new ArrayList<>()).add(line);
    }
  }

  @Override
  public List<Violation> violations() {
    List<Violation> violations = new ArrayList<>();
    for (Accepted accepted : outcomes.accepted()) {
      for (NodeId node : outcomes.nodes()) {
        List<TraceLine> lines = appliedByNode.getOrDefault(node, List.of());
        if (lines.stream().noneMatch(line -> inTime(accepted, line))) {
          TracePosition last = lines.isEmpty() ? NO_LINE : lines.getLast().position();
          violations.add(new Violation.LateConfiguration(last, node, accepted.version()));
        }
      }
    }
    return violations;
  }

  private boolean inTime(Accepted accepted, TraceLine line) {
    return line.record() instanceof TraceRecord.Applied record
        && !accepted.version().newerThan(record.version())
        && record.atMillis() <= accepted.atMillis() + outcomes.applyGraceMillis();
  }
}
