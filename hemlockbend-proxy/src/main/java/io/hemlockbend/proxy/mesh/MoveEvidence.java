package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.evidence.Counts;
import io.hemlockbend.core.evidence.Stratum;
import io.hemlockbend.core.evidence.Verdict;
import io.hemlockbend.core.evidence.VersionComparison;
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
  }

  private final VersionName to;
  private final VersionComparison comparison = new VersionComparison();
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
      Counts added = difference(now, before);
      if (added.calls() <= 0) {
        continue;
      }
      VersionCounts pair = pending.computeIfAbsent(now.route(), route -> new VersionCounts());
      if (upstream.version().equals(to)) {
        pair.fresh = pair.fresh.plus(added);
      } else {
        pair.old = pair.old.plus(added);
      }
    }
  }

  /** Adds the counts since the last call to the comparison and returns its verdict. */
  Verdict verdict(int permille, long nowMillis) {
    pending.forEach(
        (route, pair) -> comparison.add(new Stratum(nowMillis, route, ALL, pair.old, pair.fresh)));
    pending.clear();
    return comparison.verdict(permille, nowMillis, nowMillis);
  }

  private static Counts difference(RouteCounts now, RouteCounts before) {
    if (before == null || before.calls() > now.calls()) {
      return new Counts(now.calls(), now.failures(), 0, now.totalMillis());
    }
    return new Counts(
        now.calls() - before.calls(),
        now.failures() - before.failures(),
        0,
        now.totalMillis() - before.totalMillis());
  }
}
