package io.hemlockbend.core.rollout;

import static io.hemlockbend.core.rollout.Configurations.FRESH;
import static io.hemlockbend.core.rollout.Configurations.MOVE_MILLIS;
import static io.hemlockbend.core.rollout.Configurations.OLD;
import static io.hemlockbend.core.rollout.Configurations.SERVICE;
import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.brake.BrakeDetector;
import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.evidence.EvidenceScope;
import io.hemlockbend.core.evidence.EvidenceWindow;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MoveControllerTest {
  private static final ReadyUpstreams READY = key -> 3;

  private final EvidenceWindow window = new EvidenceWindow();
  private final MoveController controller = new MoveController(window);
  private long sequence;

  /** Adds one report for each domain with 100 old and 50 fresh calls and the given failures. */
  private void report(long atMillis, int domains, int oldFailures, int freshFailures) {
    for (int domain = 0; domain < domains; domain++) {
      List<RouteEvidence> evidence =
          List.of(
              evidence(OLD, domain, 100, oldFailures), evidence(FRESH, domain, 50, freshFailures));
      window.accept(new EvidenceReport(new NodeId("node"), ++sequence, evidence), atMillis);
    }
  }

  private static RouteEvidence evidence(VersionKey key, int domain, int calls, int failures) {
    FailureDomain name = new FailureDomain("domain-" + domain);
    return new RouteEvidence(key, new RouteName("route"), name, calls, failures, 0, calls * 10.0);
  }

  private RolloutDecision decide(long nowMillis) {
    return controller.decide(BrakeSet.EMPTY, READY, nowMillis).getFirst();
  }

  private static WaitCause cause(RolloutDecision decision) {
    return ((RolloutDecision.Wait) decision).cause();
  }

  @Test
  void firstStepOpensAtOnceAndTheNextOnEvidence() {
    controller.onConfiguration(Configurations.started(), 0);
    assertThat(decide(0).change()).contains(new Change.AdvanceMove(SERVICE, FRESH.version(), 10));
    controller.onConfiguration(Configurations.moving(10), 100);
    assertThat(cause(decide(200))).isEqualTo(WaitCause.NOT_DUE);
    long due = MoveSchedule.dueMillis(Configurations.moving(10).moves().get(SERVICE));
    assertThat(cause(decide(due))).isEqualTo(WaitCause.EVIDENCE);
    report(due + 1000, 2, 0, 0);
    assertThat(decide(due + 2000).change())
        .contains(new Change.AdvanceMove(SERVICE, FRESH.version(), 30));
  }

  @Test
  void stepSettlesFirstWhenMoveIsBehindItsTime() {
    long late = MOVE_MILLIS * 9 / 10;
    controller.onConfiguration(Configurations.moving(10), late);
    decide(late);
    report(late + 1000, 2, 0, 0);
    assertThat(cause(decide(late + 2000))).isEqualTo(WaitCause.SETTLING);
    assertThat(decide(late + MoveSchedule.SETTLE_MILLIS))
        .isInstanceOf(RolloutDecision.Advance.class);
  }

  @Test
  void scarceTrafficOpensStepsByTimeAndFinishesBeforeTheDeadline() {
    Configuration configuration = Configurations.started();
    long finished = -1;
    for (long now = 0; now <= MOVE_MILLIS && finished < 0; now += 1000) {
      controller.onConfiguration(configuration, now);
      Configuration base = configuration;
      configuration =
          decide(now).change().map(change -> Configurations.with(base, change)).orElse(base);
      finished = configuration.moves().isEmpty() ? now : -1;
    }
    assertThat(finished).isBetween(MOVE_MILLIS * 7 / 10, MOVE_MILLIS * 9 / 10);
  }

  @Test
  void badVersionIsTakenBackPastTheDeadline() {
    controller.onConfiguration(Configurations.moving(350), 0);
    long now = MOVE_MILLIS + 10_000;
    report(now, 2, 0, 50);
    RolloutDecision decision = decide(now + 1000);
    assertThat(decision.change()).contains(new Change.TakeBack(FRESH, null));
    assertThat(decision.reason()).contains("route route");
  }

  @Test
  void suspicionHoldsMovePastItsDeadline() {
    controller.onConfiguration(Configurations.moving(350), 0);
    long now = MOVE_MILLIS + 10_000;
    report(now, 1, 0, 12);
    assertThat(cause(decide(now + 1000))).isEqualTo(WaitCause.SUSPICION);
  }

  @Test
  void suspicionDoesNotHoldSmallShares() {
    controller.onConfiguration(Configurations.moving(10), 0);
    long now = MOVE_MILLIS / 2;
    report(now, 1, 0, 12);
    assertThat(decide(now + 1000).reason()).startsWith("suspicious, but the share is small");
  }

  @Test
  void brakeTakesTheVersionBack() {
    Configuration configuration = Configurations.moving(10);
    controller.onConfiguration(configuration, 0);
    BrakeSet brakes =
        BrakeSet.EMPTY.with(new Brake(FRESH, configuration.version(), "seen elsewhere"));
    assertThat(controller.decide(brakes, READY, 1000).getFirst().change())
        .contains(new Change.TakeBack(FRESH, null));
  }

  @Test
  void detectorBrakesOnceWithoutLease() {
    Configuration configuration = Configurations.moving(350);
    report(1000, 2, 0, 50);
    List<Brake> found = BrakeDetector.detect(configuration, window, BrakeSet.EMPTY, 2000);
    assertThat(found).extracting(Brake::key).containsExactly(FRESH);
    BrakeSet known = BrakeSet.EMPTY.withAll(found);
    assertThat(BrakeDetector.detect(configuration, window, known, 2000)).isEmpty();
  }

  @Test
  void stepWaitsForUpstreams() {
    controller.onConfiguration(Configurations.started(), 0);
    ReadyUpstreams none = key -> key.equals(FRESH) ? 0 : 3;
    assertThat(cause(controller.decide(BrakeSet.EMPTY, none, 0).getFirst()))
        .isEqualTo(WaitCause.CAPACITY);
  }

  private void finishMove(long atMillis) {
    controller.onConfiguration(Configurations.moving(600), 0);
    IntStream.range(0, 60).forEach(i -> report(atMillis - 60_000 + i * 1000, 3, 0, 0));
    controller.onConfiguration(Configurations.finished(), atMillis);
  }

  private List<RolloutDecision> afterFailures(long nowMillis, int failingDomains) {
    for (int domain = 0; domain < 3; domain++) {
      int failures = domain < failingDomains ? 50 : 0;
      List<RouteEvidence> evidence = List.of(evidence(FRESH, domain, 100, failures));
      window.accept(new EvidenceReport(new NodeId("node"), ++sequence, evidence), nowMillis);
    }
    return controller.decide(BrakeSet.EMPTY, READY, nowMillis + 1000);
  }

  @Test
  void versionThatFailsDuringSoakIsReplacedByItsPredecessor() {
    finishMove(200_000);
    List<RolloutDecision> decisions = afterFailures(260_000, 3);
    assertThat(decisions).hasSize(1);
    assertThat(decisions.getFirst().change()).contains(new Change.TakeBack(FRESH, OLD.version()));
  }

  @Test
  void failingDomainOrFailuresAfterTheSoakTakeNothingBack() {
    finishMove(200_000);
    assertThat(afterFailures(260_000, 1)).isEmpty();
    assertThat(afterFailures(200_000 + EvidenceScope.SOAK_MILLIS, 3)).isEmpty();
  }

  @Test
  void olderConfigurationIsDropped() {
    controller.onConfiguration(Configurations.finished(), 0);
    controller.onConfiguration(Configurations.started(), 1);
    assertThat(controller.decide(BrakeSet.EMPTY, READY, 2)).isEmpty();
  }

  @Test
  void brakeOnActiveVersionWithoutPredecessorWaitsForAnOperator() {
    controller.onConfiguration(Configurations.finished(), 0);
    BrakeSet brakes = BrakeSet.EMPTY.with(new Brake(FRESH, new ConfigurationVersion(9), "bad"));
    assertThat(cause(controller.decide(brakes, READY, 2).getFirst()))
        .isEqualTo(WaitCause.REPLACEMENT);
  }

  @Test
  void restoreEndsWhenItsRampHasPassed() {
    FailureDomain domain = new FailureDomain("domain");
    Configuration withdrawn =
        Configurations.with(Configuration.EMPTY, new Change.Withdraw(domain, 0));
    controller.onConfiguration(
        Configurations.with(withdrawn, new Change.Restore(domain, 1000, 5000)), 1000);
    assertThat(controller.decide(BrakeSet.EMPTY, READY, 5999)).isEmpty();
    assertThat(decide(6000).change()).contains(new Change.FinishRestore(domain));
  }
}
