package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.testkit.trace.TraceLine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks that no node puts an older configuration in force, even after a restart. */
public final class MonotonicConfigurationCheck implements OutcomeCheck {
  private final Map<NodeId, ConfigurationVersion> newestByNode = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  /** Creates the check. */
  public MonotonicConfigurationCheck() {}

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.Applied.class);
  }

  @Override
  public void accept(TraceLine line) {
    if (line.record() instanceof TraceRecord.Applied applied) {
      ConfigurationVersion before =
          newestByNode.getOrDefault(applied.node(), ConfigurationVersion.NONE);
      if (before.newerThan(applied.version())) {
        violations.add(
            new Violation.OlderConfiguration(
                line.position(), applied.node(), before, applied.version()));
      } else {
        newestByNode.put(applied.node(), applied.version());
      }
    }
  }

  @Override
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
