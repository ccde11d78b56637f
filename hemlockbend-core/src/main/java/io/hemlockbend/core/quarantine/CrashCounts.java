package io.hemlockbend.core.quarantine;

import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Number of crashes of each upstream with one request in flight. Only the node beside an upstream
 * counts its crashes, so the greater of two counts is the newer one. Merging takes the maximum for
 * each upstream (a grow-only counter) and is commutative, associative and idempotent.
 */
record CrashCounts(TreeMap<UpstreamId, Integer> byUpstream, long untilMillis) {

  static CrashCounts of(Suspicion report) {
    TreeMap<UpstreamId, Integer> counts = new TreeMap<>();
    for (UpstreamId upstream : report.upstreams()) {
      counts.merge(upstream, 1, Integer::sum);
    }
    return new CrashCounts(counts, report.untilMillis());
  }

  CrashCounts merge(CrashCounts other) {
    TreeMap<UpstreamId, Integer> greatest = new TreeMap<>(byUpstream);
    other.byUpstream.forEach((upstream, count) -> greatest.merge(upstream, count, Math::max));
    return new CrashCounts(greatest, Math.max(untilMillis, other.untilMillis));
  }

  int total() {
    int sum = 0;
    for (int count : byUpstream.values()) {
      sum += count;
    }
    return sum;
  }

  int at(UpstreamId upstream) {
    return byUpstream.getOrDefault(upstream, 0);
  }

  /**
   * Returns whether the other request has at least as many crashes at each upstream of this one.
   */
  boolean explainedBy(CrashCounts other) {
    for (Map.Entry<UpstreamId, Integer> entry : byUpstream.entrySet()) {
      if (other.at(entry.getKey()) < entry.getValue()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether both requests were in flight at a crash of the same upstream. */
  boolean sharesWith(CrashCounts other) {
    return !Collections.disjoint(byUpstream.keySet(), other.byUpstream.keySet());
  }

  List<UpstreamId> upstreams() {
    List<UpstreamId> all = new ArrayList<>();
    byUpstream.forEach((upstream, count) -> all.addAll(Collections.nCopies(count, upstream)));
    return all;
  }
}
