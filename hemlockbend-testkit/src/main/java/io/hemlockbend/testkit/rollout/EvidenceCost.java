package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.evidence.EvidenceWindow;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import io.hemlockbend.core.model.Move;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/** Measures the processor time that a lease candidate spends on the evidence of one move. */
final class EvidenceCost {
  private static final int DOMAINS = 11;
  private static final int ROUTES = 10;
  private static final int WARM_UP_SECONDS = 2_000;
  private static final int SECONDS = 5_000;
  private static final int CALLS_PER_REPORT = 20;
  private static final double FAILURE_SHARE = 0.01;
  private static final double MILLIS_PER_CALL = 15;
  private static final double NANOS_PER_MICRO = 1_000;

  private final EvidenceWindow window = new EvidenceWindow();
  private final Random random = new Random(1);
  private final Move move =
      new Move(
          ModelTraffic.SERVICE,
          ModelTraffic.OLD.version(),
          ModelTraffic.FRESH.version(),
          0,
          Long.MAX_VALUE / 2,
          500);

  private EvidenceCost() {}

  static void print() {
    EvidenceCost cost = new EvidenceCost();
    cost.run(0, WARM_UP_SECONDS);
    double micros = cost.run(WARM_UP_SECONDS, SECONDS) / NANOS_PER_MICRO / SECONDS;
    System.out.printf(
        Locale.ROOT,
        "Processor time of a candidate for one move of %d domains and %d routes: %.0f us a"
            + " second%n",
        DOMAINS,
        ROUTES,
        micros);
  }

  /** Returns the nanoseconds spent in the evidence window. */
  private long run(int firstSecond, int seconds) {
    long spentNanos = 0;
    for (int second = firstSecond; second < firstSecond + seconds; second++) {
      List<EvidenceReport> reports = reports(second);
      long nowMillis = second * 1_000L + 10;
      long beginNanos = System.nanoTime();
      reports.forEach(report -> window.accept(report, nowMillis));
      window.expire(nowMillis);
      window.verdict(move, nowMillis);
      spentNanos += System.nanoTime() - beginNanos;
    }
    return spentNanos;
  }

  private List<EvidenceReport> reports(int second) {
    List<EvidenceReport> reports = new ArrayList<>();
    for (int domain = 0; domain < DOMAINS; domain++) {
      reports.add(report(ModelTraffic.OLD, domain, second));
      reports.add(report(ModelTraffic.FRESH, domain, second));
    }
    return reports;
  }

  private EvidenceReport report(VersionKey key, int domain, int second) {
    FailureDomain domainName = new FailureDomain("domain-" + domain);
    List<RouteEvidence> evidence = new ArrayList<>();
    for (int route = 0; route < ROUTES; route++) {
      long failures = random.nextDouble() < CALLS_PER_REPORT * FAILURE_SHARE ? 1 : 0;
      RouteName routeName = new RouteName("route-" + route);
      double millis = CALLS_PER_REPORT * MILLIS_PER_CALL;
      evidence.add(
          new RouteEvidence(key, routeName, domainName, CALLS_PER_REPORT, failures, 0, millis));
    }
    return new EvidenceReport(new NodeId(key.version() + "-" + domain), second + 1, evidence);
  }
}
