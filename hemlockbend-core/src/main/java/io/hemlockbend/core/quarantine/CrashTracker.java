package io.hemlockbend.core.quarantine;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Knows beside one upstream which requests were in flight when it crashed. A request whose
 * connection broke shortly before the crash was noticed counts as in flight. Times are milliseconds
 * since the epoch.
 */
public final class CrashTracker {
  private static final long NOTICE_MILLIS = 2_000;
  private static final int MAX_BROKEN = 256;

  private record Broken(RequestId request, long atMillis) {}

  private final UpstreamId upstream;
  private final Map<RequestId, Integer> running = new HashMap<>();
  private final Deque<Broken> broken = new ArrayDeque<>();

  /** Makes the tracker of an upstream. */
  public CrashTracker(UpstreamId upstream) {
    this.upstream = upstream;
  }

  /** Notes that the upstream runs a request. */
  public void started(RequestId request) {
    running.merge(request, 1, Integer::sum);
  }

  /** Notes that a request ended and the upstream lives. */
  public void answered(RequestId request) {
    running.computeIfPresent(request, (id, count) -> count > 1 ? count - 1 : null);
  }

  /** Notes that a request's connection broke, maybe since the upstream crashed. */
  public void broken(RequestId request, long nowMillis) {
    answered(request);
    broken.addLast(new Broken(request, nowMillis));
    if (broken.size() > MAX_BROKEN) {
      broken.removeFirst();
    }
  }

  /**
   * Notes that the upstream crashed.
   *
   * @param known the reports that this node knows, among them its own earlier ones
   * @param nowMillis the time
   * @return a report for each request in flight, to be merged and spread; the upstream stands in it
   *     once for each of its crashes with the request
   */
  public List<Suspicion> crashed(QuarantineList known, long nowMillis) {
    List<Suspicion> reports = new ArrayList<>();
    for (RequestId request : inFlight(nowMillis)) {
      int crashes = known.crashesAt(request, upstream) + 1;
      reports.add(
          new Suspicion(
              request,
              Collections.nCopies(crashes, upstream),
              nowMillis + QuarantineList.KEEP_MILLIS));
    }
    running.clear();
    broken.clear();
    return reports;
  }

  private TreeSet<RequestId> inFlight(long nowMillis) {
    TreeSet<RequestId> requests = new TreeSet<>(running.keySet());
    for (Broken one : broken) {
      if (nowMillis - one.atMillis() <= NOTICE_MILLIS) {
        requests.add(one.request());
      }
    }
    return requests;
  }
}
