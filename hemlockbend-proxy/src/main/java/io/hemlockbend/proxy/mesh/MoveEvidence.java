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
 * Compares a version under move with its predecessor, by what all nodes report of their upstreams.
 * The upstreams of a service are few, so that all failure domains are taken as one.
 */
final class MoveEvidence {
  private static final FailureDomain ALL = new FailureDomain("all");

  private record Source(UpstreamId upstream, long startedMillis, RouteName route) {}

  private static final class Pair {
    private Counts old = Counts.NONE;
    private Counts fresh = Counts.NONE;
  }

  private final VersionName to;
  private final VersionComparison comparison = new VersionComparison();
  private final Map<Source, RouteCounts> seen = new HashMap<>();
  private final Map<RouteName, Pair> round = new TreeMap<>();

  MoveEvidence(VersionName to) {
    this.to = to;
  }

  /** Takes in what an upstream did since its record began. */
  void add(UpstreamRecord upstream, List<RouteCounts> counts) {
    for (RouteCounts now : counts) {
      Source source = new Source(upstream.id(), upstream.startedMillis(), now.route());
      RouteCounts before = seen.put(source, now);
      Counts added = difference(now, before);
      if (added.calls() <= 0) {
        continue;
      }
      Pair pair = round.computeIfAbsent(now.route(), route -> new Pair());
      if (upstream.version().equals(to)) {
        pair.fresh = pair.fresh.plus(added);
      } else {
        pair.old = pair.old.plus(added);
      }
    }
  }

  /** Returns what is known of the version, with what was added since the last time. */
  Verdict verdict(int permille, long nowMillis) {
    round.forEach(
        (route, pair) -> comparison.add(new Stratum(nowMillis, route, ALL, pair.old, pair.fresh)));
    round.clear();
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
