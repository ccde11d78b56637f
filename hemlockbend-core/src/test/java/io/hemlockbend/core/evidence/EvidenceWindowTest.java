package io.hemlockbend.core.evidence;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.rollout.Configurations;
import java.util.List;
import org.junit.jupiter.api.Test;

class EvidenceWindowTest {
  private static final VersionKey OLD = key("v1");
  private static final VersionKey FRESH = key("v2");
  private static final RouteName ROUTE = new RouteName("route");
  private static final FailureDomain DOMAIN = new FailureDomain("domain");
  private static final double SLOW_MILLIS = 100;

  private final EvidenceWindow window = new EvidenceWindow();

  private static VersionKey key(String version) {
    return new VersionKey(new ServiceName("service"), new VersionName(version));
  }

  private static EvidenceCounter counter(String node, long startMillis) {
    return new EvidenceCounter(new NodeId(node), DOMAIN, SLOW_MILLIS, startMillis);
  }

  private static CallOutcome call(VersionKey key, boolean failed, double millis, boolean cold) {
    return new CallOutcome(key, ROUTE, failed, millis, cold);
  }

  @Test
  void reportsOfTwoNodesFallIntoTheSameBucket() {
    EvidenceCounter old = counter("old", 0);
    EvidenceCounter fresh = counter("fresh", 0);
    old.record(call(OLD, false, 10, false));
    fresh.record(call(FRESH, true, 300, false));
    assertThat(old.report(900)).isEmpty();
    window.accept(old.report(5000).orElseThrow(), 5010);
    window.accept(fresh.report(5003).orElseThrow(), 5320);
    assertThat(window.strata(OLD, FRESH, 0, 5400)).as("the bucket has not ended").isEmpty();
    assertThat(window.strata(OLD, FRESH, 0, 5600))
        .containsExactly(
            new Stratum(4500, ROUTE, DOMAIN, new Counts(1, 0, 0, 10), new Counts(1, 1, 1, 300)));
  }

  @Test
  void reportsCountOnceInAnyOrder() {
    for (long sequence : List.of(7L, 5L, 7L, 6L, 5L, 70L, 6L, 8L)) {
      window.accept(new EvidenceReport(new NodeId("node"), sequence, List.of()), 0);
    }
    assertThat(window.accept(report(6), 0)).isFalse();
    assertThat(window.accept(report(69), 0)).isTrue();
    assertThat(window.accept(report(69), 0)).isFalse();
    assertThat(window.accept(report(71), 0)).isTrue();
  }

  private static EvidenceReport report(long sequence) {
    return new EvidenceReport(new NodeId("node"), sequence, List.of());
  }

  @Test
  void sequenceNumbersGrowAcrossRestarts() {
    EvidenceCounter before = counter("node", 1000);
    before.record(call(OLD, false, 1, false));
    EvidenceCounter after = counter("node", 9000);
    after.record(call(OLD, false, 1, false));
    assertThat(window.accept(before.report(2000).orElseThrow(), 0)).isTrue();
    assertThat(window.accept(after.report(10_000).orElseThrow(), 0)).isTrue();
  }

  @Test
  void coldCallsDoNotCountAsSlow() {
    EvidenceCounter counter = counter("node", 0);
    counter.record(call(FRESH, false, 900, true));
    counter.record(call(FRESH, false, 10, false));
    counter.record(call(FRESH, true, 900, true));
    EvidenceReport report = counter.report(1000).orElseThrow();
    assertThat(report.evidence().getFirst().totalMillis()).isEqualTo(0 + 10 + 10);
    assertThat(report.evidence().getFirst().slowCalls()).isZero();
    assertThat(report.evidence().getFirst().failures()).isEqualTo(1);
  }

  @Test
  void oldEvidenceExpires() {
    EvidenceCounter counter = counter("node", 0);
    counter.record(call(OLD, false, 1, false));
    window.accept(counter.report(1000).orElseThrow(), 1000);
    long later = 2000 + EvidenceWindow.RETENTION_MILLIS;
    window.expire(later);
    assertThat(window.strata(OLD, FRESH, 0, later)).isEmpty();
  }

  @Test
  void evidenceIsInScopeDuringMoveAndSoakTime() {
    EvidenceScope scope = new EvidenceScope();
    ServiceName service = OLD.service();
    assertThat(scope.includes(service, 0)).isFalse();
    scope.onConfiguration(Configurations.moving(100), 1000);
    assertThat(scope.includes(service, 1_000_000)).isTrue();
    scope.onConfiguration(Configurations.finished(), 2_000_000);
    assertThat(scope.includes(service, 2_000_000 + EvidenceScope.SOAK_MILLIS - 1)).isTrue();
    assertThat(scope.includes(service, 2_000_000 + EvidenceScope.SOAK_MILLIS)).isFalse();
  }
}
