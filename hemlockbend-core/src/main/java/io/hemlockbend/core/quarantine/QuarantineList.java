package io.hemlockbend.core.quarantine;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Crash reports of the whole mesh as known to one node, and the resulting standing of requests.
 *
 * <p>A request in flight at one crash is a suspect and runs alone on its upstream, so that another
 * crash affects no other request. At its second crash it is quarantined, unless another request
 * with two crashes shares a crashed upstream with it: then either may be the cause, both keep
 * running alone, and the third crash identifies the cause. A suspect that was answered is clear at
 * the node that observed the answer until it is in flight at another crash. Reports expire after
 * {@link #RETENTION_MILLIS}.
 *
 * <p>Reports merge by union in any order. When the number of reported requests exceeds a limit,
 * those with the fewest crashes are evicted first. Times are milliseconds since the epoch. Not
 * thread-safe.
 */
public final class QuarantineList {
  /** Lifetime of a report after its crash, in milliseconds. */
  public static final long RETENTION_MILLIS = 600_000;

  private static final int CRASHES_TO_QUARANTINE = 2;
  private static final int MAX_REQUESTS = 1_024;

  private final TreeMap<RequestId, CrashCounts> reports = new TreeMap<>();
  private final Map<RequestId, Integer> clearedAtTotal = new HashMap<>();

  /**
   * Merges reports.
   *
   * @param received reports of this node or of others; may repeat known ones
   * @param nowMillis the time
   * @return the merged reports that changed, to be gossiped
   */
  public List<Suspicion> merge(Collection<Suspicion> received, long nowMillis) {
    List<Suspicion> changed = new ArrayList<>();
    for (Suspicion report : received) {
      if (report.untilMillis() > nowMillis && mergeOne(report)) {
        changed.add(suspicion(report.request(), reports.get(report.request())));
      }
    }
    evictBeyondLimit();
    return changed;
  }

  /** Returns the standing of a request; requests without valid reports are clear. */
  public Standing standing(RequestId request, long nowMillis) {
    CrashCounts counts = reports.get(request);
    if (counts == null || counts.untilMillis() <= nowMillis) {
      return Standing.CLEAR;
    }
    if (counts.total() >= CRASHES_TO_QUARANTINE && !hasOtherPossibleCause(request, counts)) {
      return Standing.QUARANTINED;
    }
    boolean cleared = clearedAtTotal.getOrDefault(request, 0) >= counts.total();
    return cleared ? Standing.CLEAR : Standing.SUSPECT;
  }

  /** Records that a request was answered while it ran alone on an upstream of this node. */
  public void answeredAlone(RequestId request) {
    CrashCounts counts = reports.get(request);
    if (counts != null) {
      clearedAtTotal.put(request, counts.total());
    }
  }

  /** Drops expired reports. */
  public void expire(long nowMillis) {
    reports.values().removeIf(counts -> counts.untilMillis() <= nowMillis);
    clearedAtTotal.keySet().retainAll(reports.keySet());
  }

  /** Returns all reports, ordered by request. */
  public List<Suspicion> reports() {
    List<Suspicion> all = new ArrayList<>(reports.size());
    reports.forEach((request, counts) -> all.add(suspicion(request, counts)));
    return all;
  }

  /** Returns the known number of crashes of an upstream with the request in flight. */
  int crashesAt(RequestId request, UpstreamId upstream) {
    CrashCounts counts = reports.get(request);
    return counts == null ? 0 : counts.at(upstream);
  }

  private boolean mergeOne(Suspicion report) {
    CrashCounts reported = CrashCounts.of(report);
    CrashCounts before = reports.get(report.request());
    CrashCounts after = before == null ? reported : before.merge(reported);
    reports.put(report.request(), after);
    return !after.equals(before);
  }

  /** Returns whether another request may equally be the cause of the crashes. */
  private boolean hasOtherPossibleCause(RequestId request, CrashCounts counts) {
    boolean decided = counts.total() > CRASHES_TO_QUARANTINE;
    for (Map.Entry<RequestId, CrashCounts> other : reports.entrySet()) {
      CrashCounts otherCounts = other.getValue();
      boolean shares =
          otherCounts.total() >= CRASHES_TO_QUARANTINE && counts.sharesWith(otherCounts);
      boolean possibleCause = decided ? counts.explainedBy(otherCounts) : shares;
      if (possibleCause && !other.getKey().equals(request)) {
        return true;
      }
    }
    return false;
  }

  private void evictBeyondLimit() {
    while (reports.size() > MAX_REQUESTS) {
      Comparator<Map.Entry<RequestId, CrashCounts>> byTotal =
          Comparator.comparingInt(entry -> entry.getValue().total());
      RequestId evicted =
          reports.entrySet().stream()
              .min(byTotal.thenComparingLong(entry -> entry.getValue().untilMillis()))
              .orElseThrow()
              .getKey();
      reports.remove(evicted);
    }
    clearedAtTotal.keySet().retainAll(reports.keySet());
  }

  private static Suspicion suspicion(RequestId request, CrashCounts counts) {
    return new Suspicion(request, counts.upstreams(), counts.untilMillis());
  }
}
