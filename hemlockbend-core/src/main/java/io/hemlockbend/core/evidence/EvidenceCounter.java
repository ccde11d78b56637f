package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Counts the calls run by the upstream beside this node, by version and route, and reports them
 * once a second.
 *
 * <p>The service time of a call admitted during a cold start is capped at the moving average of
 * earlier successful warm calls, or at zero without any, so that a cold start does not make a
 * version look slow. Failures of cold calls count like any other.
 */
public final class EvidenceCounter {
  /** Report interval; reports are due at the full seconds of the node's clock. */
  public static final long REPORT_MILLIS = 1_000;

  private static final double WARM_MEAN_GAIN = 0.05;

  private final NodeId self;
  private final FailureDomain domain;
  private final double slowBoundMillis;
  private final Map<Key, Counts> counts = new TreeMap<>();
  private final Map<Key, Double> warmMeans = new HashMap<>();
  private long lastSequence;
  private long reportedSecond;

  /**
   * Creates a counter.
   *
   * @param self this node
   * @param domain the failure domain of this node
   * @param slowBoundMillis the latency bound; calls that take longer are slow
   * @param startMillis start time of the node's process; sequence numbers start here, so that they
   *     also grow across restarts
   */
  public EvidenceCounter(
      NodeId self, FailureDomain domain, double slowBoundMillis, long startMillis) {
    this.self = self;
    this.domain = domain;
    this.slowBoundMillis = slowBoundMillis;
    lastSequence = startMillis;
    reportedSecond = Math.floorDiv(startMillis, REPORT_MILLIS);
  }

  /**
   * Counts a call.
   *
   * @param outcome the result of the call
   */
  public void record(CallOutcome outcome) {
    Key key = new Key(outcome.key(), outcome.route());
    double millis = outcome.serviceMillis();
    if (outcome.cold()) {
      millis = Math.min(millis, warmMeans.getOrDefault(key, 0.0));
    } else if (!outcome.failed()) {
      double measured = millis;
      warmMeans.merge(key, measured, (mean, unused) -> mean + WARM_MEAN_GAIN * (measured - mean));
    }
    long failures = outcome.failed() ? 1 : 0;
    long slow = millis > slowBoundMillis ? 1 : 0;
    counts.merge(key, new Counts(1, failures, slow, millis), Counts::plus);
  }

  /**
   * Returns the counts since the last report, or empty when no new second has begun or no call was
   * counted.
   *
   * @param nowMillis the time in milliseconds since the epoch
   */
  public Optional<EvidenceReport> report(long nowMillis) {
    long second = Math.floorDiv(nowMillis, REPORT_MILLIS);
    if (second == reportedSecond || counts.isEmpty()) {
      return Optional.empty();
    }
    reportedSecond = second;
    lastSequence++;
    List<RouteEvidence> evidence = new ArrayList<>();
    counts.forEach((key, sum) -> evidence.add(evidence(key, sum)));
    counts.clear();
    return Optional.of(new EvidenceReport(self, lastSequence, List.copyOf(evidence)));
  }

  private RouteEvidence evidence(Key key, Counts sum) {
    return new RouteEvidence(
        key.version(),
        key.route(),
        domain,
        sum.calls(),
        sum.failures(),
        sum.slowCalls(),
        sum.totalMillis());
  }

  private record Key(VersionKey version, RouteName route) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int byVersion = version.compareTo(other.version);
      return byVersion != 0 ? byVersion : route.compareTo(other.route);
    }
  }
}
