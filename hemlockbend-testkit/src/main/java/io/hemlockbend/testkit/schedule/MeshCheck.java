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

/** An invariant that the log of a run is checked against. */
public sealed interface MeshCheck {
  /** Returns a description of each violation; empty when the invariant holds. */
  List<String> violations(RunLog log);

  /** Returns all checks. */
  static List<MeshCheck> all(ConfigurationDigester digester) {
    return List.of(
        new Monotone(), new Whole(digester), new References(), new InForce(), new OneDigest());
  }

  /** No node applies an older version than before, not even after a restart of its process. */
  record Monotone() implements MeshCheck {
    @Override
    public List<String> violations(RunLog log) {
      Map<NodeId, ConfigurationVersion> last = new HashMap<>();
      List<String> found = new ArrayList<>();
      for (RunLog.Applied applied : log.applied()) {
        ConfigurationVersion before = last.put(applied.node(), applied.mark().version());
        if (before != null && before.newerThan(applied.mark().version())) {
          found.add(
              "%s went back from version %s to %s at %d ms"
                  .formatted(applied.node(), before, applied.mark().version(), applied.atMillis()));
        }
      }
      return found;
    }
  }

  /** The digest of every applied configuration is that of the accepted configuration. */
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
          found.add(
              "%s applied version %s with a digest other than the accepted one"
                  .formatted(applied.node(), version));
        }
      }
      return found;
    }
  }

  /** Every reference within an applied configuration resolves. */
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

  /**
   * An accepted configuration is in force on every serving node within the bound, counted from the
   * end of the faults if that is later.
   */
  record InForce() implements MeshCheck {
    /** Maximum time from acceptance, or the end of the faults, until in force. */
    public static final long BOUND_MILLIS = 3_000;

    @Override
    public List<String> violations(RunLog log) {
      List<String> found = new ArrayList<>();
      for (RunLog.Serving serving : log.serving()) {
        ConfigurationVersion due = due(log, serving.atMillis());
        if (due.newerThan(serving.mark().version())) {
          found.add(
              "%s served version %s at %d ms when %s was due"
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

  /** No version is applied with two different digests. */
  record OneDigest() implements MeshCheck {
    @Override
    public List<String> violations(RunLog log) {
      Map<ConfigurationVersion, Digest> seen = new HashMap<>();
      List<String> found = new ArrayList<>();
      for (RunLog.Applied applied : log.applied()) {
        Digest other = seen.putIfAbsent(applied.mark().version(), applied.mark().digest());
        if (other != null && !other.equals(applied.mark().digest())) {
          found.add(
              "%s applied version %s with digest %s, seen before with %s"
                  .formatted(
                      applied.node(), applied.mark().version(), applied.mark().digest(), other));
        }
      }
      return found;
    }
  }
}
