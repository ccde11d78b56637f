package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.evidence.CallOutcome;
import io.hemlockbend.core.evidence.EvidenceCounter;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Service;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws the calls of the modelled service and counts their outcomes at its upstreams. */
final class ModelTraffic {
  static final int DOMAINS = 3;
  static final int ROUTES = 3;
  static final long TICK_MILLIS = 200;
  static final ServiceName SERVICE = new ServiceName("orders");
  static final VersionKey OLD = new VersionKey(SERVICE, new VersionName("v1"));
  static final VersionKey FRESH = new VersionKey(SERVICE, new VersionName("v2"));

  private static final double[] ROUTE_WEIGHTS = {0.6, 0.3, 0.1};
  private static final double[] ROUTE_MILLIS = {15, 30, 60};
  private static final double LOG_NORMAL_SIGMA = 0.6;
  private static final double BASE_FAILURE_SHARE = 0.002;
  private static final double SLOW_BOUND_MILLIS = 500;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final RandomGenerator random;
  private final Scenario scenario;
  private final long disturbanceMillis;
  private final Move move;
  private final EvidenceCounter[][] counters = new EvidenceCounter[2][DOMAINS];
  private final double[] freshRates = new double[DOMAINS];
  private long calls;
  private long freshCalls;
  private long harmedCalls;
  private long firstBadMillis = -1;
  private long lastFreshMillis = -1;

  ModelTraffic(RandomGenerator random, Scenario scenario, long disturbanceMillis, Move move) {
    this.random = random;
    this.scenario = scenario;
    this.disturbanceMillis = disturbanceMillis;
    this.move = move;
    for (int domain = 0; domain < DOMAINS; domain++) {
      for (int version = 0; version < 2; version++) {
        counters[version][domain] =
            new EvidenceCounter(
                new NodeId("node-" + version + "-" + domain),
                domainName(domain),
                SLOW_BOUND_MILLIS,
                move.startMillis());
      }
    }
  }

  static FailureDomain domainName(int domain) {
    return new FailureDomain("domain-" + domain);
  }

  /** Draws the calls that the entries of each failure domain send in one tick. */
  void tick(Entry[] entries, long nowMillis) {
    double perDomain = scenario.callsPerSecond() * TICK_MILLIS / MILLIS_PER_SECOND / DOMAINS;
    int[] fresh = new int[DOMAINS];
    for (Entry entry : entries) {
      for (int route = 0; route < ROUTES; route++) {
        int drawn = poisson(perDomain * ROUTE_WEIGHTS[route]);
        for (int i = 0; i < drawn; i++) {
          call(entry, route, fresh, nowMillis);
        }
      }
    }
    for (int domain = 0; domain < DOMAINS; domain++) {
      double rate = fresh[domain] * MILLIS_PER_SECOND / TICK_MILLIS;
      freshRates[domain] += (rate - freshRates[domain]) / 5;
    }
  }

  private void call(Entry entry, int route, int[] fresh, long nowMillis) {
    int domain = entry.domain;
    if (entry.configuration.domains().get(domainName(domain)) instanceof DomainState.Withdrawn) {
      domain = (domain + 1 + random.nextInt(DOMAINS - 1)) % DOMAINS;
    }
    boolean toFresh = random.nextInt(Move.FULL_SHARE_PERMILLE) < freshPermille(entry);
    double moveFraction =
        (double) (nowMillis - move.startMillis()) / (move.deadlineMillis() - move.startMillis());
    Effect defectEffect =
        toFresh
            ? scenario
                .defect()
                .effect(
                    route,
                    moveFraction,
                    scenario.lateFraction(),
                    freshRates[domain] / scenario.callsPerSecond())
            : Effect.NONE;
    Effect disturbanceEffect = scenario.disturbance().effect(domain, nowMillis - disturbanceMillis);
    double failureShare =
        BASE_FAILURE_SHARE + defectEffect.failureShare() + disturbanceEffect.failureShare();
    boolean failed = random.nextDouble() < failureShare;
    double millis =
        ROUTE_MILLIS[route]
            * Math.exp(
                LOG_NORMAL_SIGMA * random.nextGaussian() - LOG_NORMAL_SIGMA * LOG_NORMAL_SIGMA / 2)
            * defectEffect.slowFactor()
            * disturbanceEffect.slowFactor();
    calls++;
    if (toFresh) {
      fresh[domain]++;
      recordFresh(defectEffect, nowMillis);
      harmedCalls += defectEffect.equals(Effect.NONE) ? 0 : 1;
    }
    VersionKey key = toFresh ? FRESH : OLD;
    counters[toFresh ? 1 : 0][domain].record(
        new CallOutcome(key, new RouteName("route-" + route), failed, millis, false));
  }

  private void recordFresh(Effect defectEffect, long nowMillis) {
    if (firstBadMillis < 0 && !defectEffect.equals(Effect.NONE)) {
      firstBadMillis = nowMillis;
    }
    if (firstBadMillis >= 0) {
      freshCalls++;
      lastFreshMillis = nowMillis;
    }
  }

  private static int freshPermille(Entry entry) {
    Configuration configuration = entry.configuration;
    if (entry.brakes.blocks(FRESH) || !configuration.usable(FRESH)) {
      return 0;
    }
    Move moving = configuration.moves().get(SERVICE);
    if (moving != null) {
      return moving.sharePermille();
    }
    Service service = configuration.services().get(SERVICE);
    return service.active().equals(FRESH.version()) ? Move.FULL_SHARE_PERMILLE : 0;
  }

  /** Returns the evidence reports that are due. */
  List<EvidenceReport> reports(long nowMillis) {
    List<EvidenceReport> reports = new ArrayList<>();
    for (EvidenceCounter[] version : counters) {
      for (EvidenceCounter counter : version) {
        counter.report(nowMillis).ifPresent(reports::add);
      }
    }
    return reports;
  }

  long calls() {
    return calls;
  }

  long freshCalls() {
    return freshCalls;
  }

  long harmedCalls() {
    return harmedCalls;
  }

  long exposureMillis() {
    return firstBadMillis < 0 ? -1 : lastFreshMillis - firstBadMillis;
  }

  private int poisson(double mean) {
    double limit = Math.exp(-mean);
    int drawn = 0;
    for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
      drawn++;
    }
    return drawn;
  }
}
