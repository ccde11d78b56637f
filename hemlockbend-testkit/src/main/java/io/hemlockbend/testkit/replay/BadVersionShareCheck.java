package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.testkit.replay.StatedOutcomes.BadVersion;
import io.hemlockbend.testkit.trace.TraceLine;
import io.hemlockbend.testkit.trace.TracePosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks that a bad version got a bounded share of its service's runs, and none from its stated
 * time on.
 */
public final class BadVersionShareCheck implements OutcomeCheck {
  private static final long FULL_SHARE_PERMILLE = 1000;

  private final List<Tally> tallies;

  /** Creates the check. */
  public BadVersionShareCheck(StatedOutcomes outcomes) {
    tallies = outcomes.badVersions().stream().map(Tally::new).toList();
  }

  @Override
  public Set<Class<? extends TraceRecord>> recordTypes() {
    return Set.of(TraceRecord.Run.class);
  }

  @Override
  public void accept(TraceLine line) {
    if (line.record() instanceof TraceRecord.Run run) {
      tallies.forEach(tally -> tally.count(run, line.position()));
    }
  }

  @Override
  public List<Violation> violations() {
    return tallies.stream().flatMap(tally -> tally.violations().stream()).toList();
  }

  private static final class Tally {
    private final BadVersion badVersion;
    private final List<Violation> lateRuns = new ArrayList<>();
    private TracePosition lastRun;
    private long runs;
    private long serviceRuns;

    Tally(BadVersion badVersion) {
      this.badVersion = badVersion;
    }

    void count(TraceRecord.Run run, TracePosition position) {
      VersionKey key = new VersionKey(run.service(), run.version());
      boolean ofService = run.service().equals(badVersion.version().service());
      boolean ofVersion = key.equals(badVersion.version());
      long lateMillis = run.atMillis() - badVersion.noneFromMillis();
      if (ofVersion && lateMillis >= 0) {
        lateRuns.add(new Violation.BadVersionUsed(position, key, lateMillis));
      }
      if (!ofService || lateMillis >= 0) {
        return;
      }
      serviceRuns++;
      if (ofVersion) {
        runs++;
        lastRun = position;
      }
    }

    List<Violation> violations() {
      List<Violation> all = new ArrayList<>(lateRuns);
      if (runs * FULL_SHARE_PERMILLE > serviceRuns * badVersion.maxSharePermille()) {
        all.add(
            new Violation.BadShareExceeded(
                lastRun, badVersion.version(), runs, serviceRuns, badVersion.maxSharePermille()));
      }
      return all;
    }
  }
}
