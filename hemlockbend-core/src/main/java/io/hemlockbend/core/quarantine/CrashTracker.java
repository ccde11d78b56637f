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
 * Tracks the requests in flight at the upstream beside this node, to report them when it crashes. A
 * request whose connection broke shortly before the crash was detected counts as in flight. Times
 * are milliseconds since the epoch.
 */
public final class CrashTracker {
  private static final long CRASH_DETECTION_MILLIS = 2_000;
  private static final int MAX_BROKEN_CONNECTIONS = 256;

  /** How long answers sent before a crash may be read after the connections that it broke. */
  private static final long LATE_ANSWER_MILLIS = 100;

  private record BrokenConnection(RequestId request, long atMillis) {}

  private final UpstreamId upstream;
  private final Map<RequestId, Integer> running = new HashMap<>();
  private final Deque<BrokenConnection> brokenConnections = new ArrayDeque<>();

  /** Creates a tracker without requests in flight. */
  public CrashTracker(UpstreamId upstream) {
    this.upstream = upstream;
  }

  /** Records that the upstream started a request. */
  public void started(RequestId request) {
    running.merge(request, 1, Integer::sum);
  }

  /** Records that a request ended while the upstream is alive. */
  public void answered(RequestId request) {
    running.computeIfPresent(request, (id, count) -> count > 1 ? count - 1 : null);
  }

  /** Records that a request's connection broke, possibly because the upstream crashed. */
  public void connectionBroken(RequestId request, long nowMillis) {
    answered(request);
    brokenConnections.addLast(new BrokenConnection(request, nowMillis));
    if (brokenConnections.size() > MAX_BROKEN_CONNECTIONS) {
      brokenConnections.removeFirst();
    }
  }

  /** Records that the upstream answered, so no connection broke long before because it crashed. */
  public void responded(long nowMillis) {
    brokenConnections.removeIf(
        connection -> nowMillis - connection.atMillis() > LATE_ANSWER_MILLIS);
  }

  /**
   * Records that another process of the upstream runs though this one has not left: it has crashed,
   * at a time that is not known. Unlike for {@link #crashed}, a request counts as in flight however
   * long ago its connection broke, unless the upstream has answered any request since then.
   *
   * @param known the reports known to this node, including its own earlier ones
   * @param nowMillis the time
   * @return a report for each request in flight, to be merged and gossiped
   */
  public List<Suspicion> replaced(QuarantineList known, long nowMillis) {
    TreeSet<RequestId> requests = new TreeSet<>(running.keySet());
    brokenConnections.forEach(connection -> requests.add(connection.request()));
    return report(requests, known, nowMillis);
  }

  /**
   * Records a crash of the upstream.
   *
   * @param known the reports known to this node, including its own earlier ones
   * @param nowMillis the time
   * @return a report for each request in flight, to be merged and gossiped; it lists the upstream
   *     once for each of its crashes with the request
   */
  public List<Suspicion> crashed(QuarantineList known, long nowMillis) {
    return report(inFlight(nowMillis), known, nowMillis);
  }

  private List<Suspicion> report(
      TreeSet<RequestId> requests, QuarantineList known, long nowMillis) {
    List<Suspicion> reports = new ArrayList<>();
    for (RequestId request : requests) {
      int crashes = known.crashesAt(request, upstream) + 1;
      reports.add(
          new Suspicion(
              request,
              Collections.nCopies(crashes, upstream),
              nowMillis + QuarantineList.RETENTION_MILLIS));
    }
    running.clear();
    brokenConnections.clear();
    return reports;
  }

  private TreeSet<RequestId> inFlight(long nowMillis) {
    TreeSet<RequestId> requests = new TreeSet<>(running.keySet());
    for (BrokenConnection connection : brokenConnections) {
      if (nowMillis - connection.atMillis() <= CRASH_DETECTION_MILLIS) {
        requests.add(connection.request());
      }
    }
    return requests;
  }
}
