package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.distribution.ReferenceCheck;
import io.hemlockbend.core.model.ConfigurationDigester;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the log of a run against a line that must always hold. */
public sealed interface MeshCheck {
  /** Returns each violation in words; none when the line held. */
  List<String> violations(RunLog log);

  /** Returns all checks. */
  static List<MeshCheck> all(ConfigurationDigester digester) {
    return List.of(
        new Monotone(), new Whole(digester), new References(), new InForce(), new OneDigest());
  }

  /** No node goes back to an older version, also not over restarts of its process. */
  record Monotone() implements MeshCheck {
    @Override
    public List<String> violations(RunLog log) {
      Map<NodeId, ConfigurationVersion> last = new HashMap<>();
      List<String> found = new ArrayList<>();
      for (RunLog.Applied applied : log.applied()) {
        ConfigurationVersion before = last.put(applied.node(), applied.mark().version());
        if (before != null && before.newerThan(applied.mark().version())) {
          found.add(
              "%s went back from %s to %s at %d ms"
                  .formatted(applied.node(), before, applied.mark().version(), applied.atMillis()));
        }
      }
      return found;
    }
  }

  /** What a node applies is the accepted configuration, all of it. */
  record Whole(ConfigurationDigester digester) implements MeshCheck {
    @Override
    public List<String> violations(RunLog log) {
      Map<ConfigurationVersion, Digest> accepted = new HashMap<>();
      log.accepted().forEach(row -> accepted.put(row.mark().version(), row.mark().digest()));
      List<String> found = new ArrayList<>();
      for (RunLog.Applied applied : log.applied()) {
        ConfigurationVersion version = applied.mark().version();
        if (!version.equals(ConfigurationVersion.NONE)
            && !digester.digest(applied.configuration()).equals(accepted.get(version))) {
          found.add("%s applied a part of %s".formatted(applied.node(), version));
        }
      }
      return found;
    }
  }

  /** Whatever an applied configuration refers to is part of it. */
  record References() implements MeshCheck {
    @Override
    public List<String> violations(RunLog log) {
      List<String> found = new ArrayList<>();
      for (RunLog.Applied applied : log.applied()) {
        ReferenceCheck.faults(applied.configuration())
            .forEach(fault -> found.add(applied.node() + ": " + fault));
      }
      return found;
    }
  }

  /** An accepted configuration is in force everywhere within the bound, once faults have ended. */
  record InForce() implements MeshCheck {
    /** The bound. */
    public static final long BOUND_MILLIS = 3_000;

    @Override
    public List<String> violations(RunLog log) {
      List<String> found = new ArrayList<>();
      for (RunLog.Serving serving : log.serving()) {
        ConfigurationVersion due = due(log, serving.atMillis());
        if (due.newerThan(serving.mark().version())) {
          found.add(
              "%s served %s at %d ms when %s was due"
                  .formatted(serving.node(), serving.mark().version(), serving.atMillis(), due));
        }
      }
      return found;
    }

    private static ConfigurationVersion due(RunLog log, long atMillis) {
      ConfigurationVersion due = ConfigurationVersion.NONE;
      for (RunLog.Accepted accepted : log.accepted()) {
        long from = Math.max(accepted.atMillis(), log.faultsEndedMillis());
        due = from + BOUND_MILLIS <= atMillis ? accepted.mark().version() : due;
      }
      return due;
    }
  }

  /** No two nodes apply different configurations under one version. */
  record OneDigest() implements MeshCheck {
    @Override
    public List<String> violations(RunLog log) {
      Map<ConfigurationVersion, Digest> seen = new HashMap<>();
      List<String> found = new ArrayList<>();
      for (RunLog.Applied applied : log.applied()) {
        Digest other = seen.putIfAbsent(applied.mark().version(), applied.mark().digest());
        if (other != null && !other.equals(applied.mark().digest())) {
          found.add("%s applied another %s".formatted(applied.node(), applied.mark().version()));
        }
      }
      return found;
    }
  }
}
