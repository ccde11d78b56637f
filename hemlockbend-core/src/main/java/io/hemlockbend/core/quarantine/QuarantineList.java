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
 * The crash reports of the whole mesh, as one node knows them, and what follows from them.
 *
 * <p>A request in flight at one crash is a suspect and runs alone on its upstream, so that it takes
 * no other request with it. At its second crash it is quarantined, unless another request that was
 * in flight at two crashes shares one with it: then either may be the cause, both go on alone, and
 * the third crash tells them apart. A suspect that was answered is clear at the node that saw it,
 * until it is in flight at another crash. Reports expire after {@link #KEEP_MILLIS}.
 *
 * <p>Reports merge by union in any order. When more than a bounded number of requests are reported,
 * those with the fewest crashes are forgotten first. Times are milliseconds since the epoch; driven
 * by one thread.
 */
public final class QuarantineList {
  /** How long a report counts after its crash, in milliseconds. */
  public static final long KEEP_MILLIS = 600_000;

  private static final int CRASHES_TO_QUARANTINE = 2;
  private static final int MAX_REQUESTS = 1_024;

  private final TreeMap<RequestId, CrashCounts> reports = new TreeMap<>();
  private final Map<RequestId, Integer> clearedAt = new HashMap<>();

  /**
   * Takes in reports.
   *
   * @param news reports of this node or of others, new or known
   * @param nowMillis the time
   * @return the merged reports that changed, to be spread further
   */
  public List<Suspicion> merge(Collection<Suspicion> news, long nowMillis) {
    List<Suspicion> changed = new ArrayList<>();
    for (Suspicion report : news) {
      if (report.untilMillis() > nowMillis && mergeOne(report)) {
        changed.add(suspicion(report.request(), reports.get(report.request())));
      }
    }
    forgetBeyondBound();
    return changed;
  }

  /** Returns whether a request runs as usual, alone or not at all. */
  public Standing standing(RequestId request, long nowMillis) {
    CrashCounts counts = reports.get(request);
    if (counts == null || counts.untilMillis() <= nowMillis) {
      return Standing.CLEAR;
    }
    if (counts.total() >= CRASHES_TO_QUARANTINE && !doubtful(request, counts)) {
      return Standing.QUARANTINED;
    }
    boolean cleared = clearedAt.getOrDefault(request, 0) >= counts.total();
    return cleared ? Standing.CLEAR : Standing.SUSPECT;
  }

  /** Notes that this node saw a request answered while it ran alone. */
  public void answeredAlone(RequestId request) {
    CrashCounts counts = reports.get(request);
    if (counts != null) {
      clearedAt.put(request, counts.total());
    }
  }

  /** Forgets reports that no longer count. */
  public void expire(long nowMillis) {
    reports.values().removeIf(counts -> counts.untilMillis() <= nowMillis);
    clearedAt.keySet().retainAll(reports.keySet());
  }

  /** Returns all reports, ordered by request. */
  public List<Suspicion> reports() {
    List<Suspicion> all = new ArrayList<>(reports.size());
    reports.forEach((request, counts) -> all.add(suspicion(request, counts)));
    return all;
  }

  /** Returns how often an upstream is known to have crashed with a request. */
  int crashesAt(RequestId request, UpstreamId upstream) {
    CrashCounts counts = reports.get(request);
    return counts == null ? 0 : counts.at(upstream);
  }

  private boolean mergeOne(Suspicion report) {
    CrashCounts told = CrashCounts.of(report);
    CrashCounts before = reports.get(report.request());
    CrashCounts after = before == null ? told : before.merge(told);
    reports.put(report.request(), after);
    return !after.equals(before);
  }

  /** Returns whether another request may as well be the cause. */
  private boolean doubtful(RequestId request, CrashCounts counts) {
    boolean decided = counts.total() > CRASHES_TO_QUARANTINE;
    for (Map.Entry<RequestId, CrashCounts> other : reports.entrySet()) {
      CrashCounts theirs = other.getValue();
      boolean shares = theirs.total() >= CRASHES_TO_QUARANTINE && counts.sharesWith(theirs);
      boolean doubt = decided ? counts.explainedBy(theirs) : shares;
      if (doubt && !other.getKey().equals(request)) {
        return true;
      }
    }
    return false;
  }

  private void forgetBeyondBound() {
    while (reports.size() > MAX_REQUESTS) {
      Comparator<Map.Entry<RequestId, CrashCounts>> least =
          Comparator.comparingInt(entry -> entry.getValue().total());
      RequestId first =
          reports.entrySet().stream()
              .min(least.thenComparingLong(entry -> entry.getValue().untilMillis()))
              .orElseThrow()
              .getKey();
      reports.remove(first);
    }
    clearedAt.keySet().retainAll(reports.keySet());
  }

  private static Suspicion suspicion(RequestId request, CrashCounts counts) {
    return new Suspicion(request, counts.upstreams(), counts.untilMillis());
  }
}
