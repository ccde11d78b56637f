package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.evidence.Counts;
import io.hemlockbend.core.evidence.MoveComparison;
import io.hemlockbend.core.evidence.Stratum;
import io.hemlockbend.core.evidence.Verdict;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.peer.RouteCounts;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares the target version of a move with its predecessor, from the counts that all nodes report
 * for their upstreams. A service has few upstreams, so all failure domains count as one stratum.
 */
final class MoveEvidence {
  private static final FailureDomain ALL = new FailureDomain("all");

  private record Source(UpstreamId upstream, long startedMillis, RouteName route) {}

  private static final class VersionCounts {
    private Counts old = Counts.NONE;
    private Counts fresh = Counts.NONE;
    private long oldErrors;
    private long freshErrors;
  }

  private final VersionName to;
  private final MoveComparison comparison = new MoveComparison();
  private final Map<Source, RouteCounts> lastCounts = new HashMap<>();
  private final Map<RouteName, VersionCounts> pending = new TreeMap<>();

  MoveEvidence(VersionName to) {
    this.to = to;
  }

  /** Adds an upstream's cumulative counts; only the increase since the last call is counted. */
  void add(UpstreamRecord upstream, List<RouteCounts> counts) {
    for (RouteCounts now : counts) {
      Source source = new Source(upstream.id(), upstream.startedMillis(), now.route());
      RouteCounts before = lastCounts.put(source, now);
      boolean restarted = before == null || before.calls() > now.calls();
      RouteCounts base = restarted ? new RouteCounts(now.route(), 0, 0, 0, 0) : before;
      Counts added = difference(now, base);
      long errors = now.errors() - base.errors();
      if (added.calls() <= 0) {
        continue;
      }
      VersionCounts pair = pending.computeIfAbsent(now.route(), route -> new VersionCounts());
      if (upstream.version().equals(to)) {
        pair.fresh = pair.fresh.plus(added);
        pair.freshErrors += errors;
      } else {
        pair.old = pair.old.plus(added);
        pair.oldErrors += errors;
      }
    }
  }

  /** Adds the counts since the last call to the comparison and returns its verdict. */
  Verdict verdict(int permille, long nowMillis) {
    pending.forEach(
        (route, pair) ->
            comparison.add(
                new Stratum(nowMillis, route, ALL, pair.old, pair.fresh),
                pair.oldErrors,
                pair.freshErrors));
    pending.clear();
    return comparison.verdict(permille, nowMillis);
  }

  /** Returns the calls of the target version so far, for the log. */
  String calls() {
    return comparison.calls();
  }

  private static Counts difference(RouteCounts now, RouteCounts before) {
    return new Counts(
        now.calls() - before.calls(),
        now.failures() - before.failures(),
        0,
        now.totalMillis() - before.totalMillis());
  }
}
