package io.hemlockbend.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.quarantine.Standing;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
  private static final VersionKey VERSION =
      new VersionKey(new ServiceName("orders"), new VersionName("v1"));
  private static final RouteName ROUTE = new RouteName("orders");
  private static final long FAR_MILLIS = 1_000_000;

  private final AdmissionGate open = AdmissionGate.open(VERSION);
  private final AdmissionController admission =
      new AdmissionController(new AdmissionSettings(4, 1, 2, 500, 250), open, new StartId("s1"), 0);
  private long now;

  @Test
  void refusesBehindEachClosedGateAndDropsTheQueue() {
    admitted(Priority.NORMAL);
    assertThat(offer(Priority.NORMAL)).isInstanceOf(AdmissionDecision.Queued.class);
    AdmissionGate draining = new AdmissionGate(EndpointState.DRAINING, VERSION, false, false, 1);
    assertThat(admission.gate(draining, now).dropped())
        .extracting(Dropped::reason)
        .containsExactly(RefusalReason.DRAINING);
    assertThat(refusal(Priority.URGENT)).isEqualTo(RefusalReason.DRAINING);
    admission.gate(new AdmissionGate(EndpointState.READY, VERSION, true, false, 1), now);
    assertThat(refusal(Priority.URGENT)).isEqualTo(RefusalReason.DOMAIN_WITHDRAWN);
    admission.gate(new AdmissionGate(EndpointState.READY, VERSION, false, true, 1), now);
    assertThat(refusal(Priority.URGENT)).isEqualTo(RefusalReason.VERSION_BRAKED);
    admission.gate(new AdmissionGate(EndpointState.DOWN, VERSION, false, false, 1), now);
    assertThat(refusal(Priority.URGENT)).isEqualTo(RefusalReason.NOT_READY);
  }

  @Test
  void coldUpstreamStartsAtOneAndRampsUpToItsSlots() {
    warmUp();
    assertThat(now).isGreaterThanOrEqualTo(1_500);
    assertThat(admission.currentLimit()).isEqualTo(4);
    admission.started(new StartId("s2"), now);
    assertThat(admission.currentLimit()).isEqualTo(1);
  }

  @Test
  void fallsBackOnAnUnannouncedColdStartAndOnOverload() {
    warmUp();
    List<Permit> permits = fill();
    admission.release(permits.get(0), RunOutcome.BROKEN, 1, now);
    assertThat(admission.currentLimit()).isEqualTo(2);
    permits.subList(1, 4).forEach(p -> admission.release(p, RunOutcome.ANSWERED, 20, now));
    for (int i = 0; i < 6; i++) {
      assertThat(admission.currentLimit()).isGreaterThan(1);
      admission.release(admitted(Priority.NORMAL), RunOutcome.ANSWERED, 200, now);
    }
    assertThat(admission.currentLimit()).isEqualTo(1);
    warmUp();
    admission.release(admitted(Priority.NORMAL), RunOutcome.OVERLOADED, 1, now);
    assertThat(admission.currentLimit()).isEqualTo(1);
  }

  @Test
  void detectsAModeratelySlowColdStartAndRampsSlowlyWhileSlow() {
    warmUp();
    int answers = 0;
    for (; admission.currentLimit() > 1 && answers < 100; answers++) {
      admission.release(admitted(Priority.NORMAL), RunOutcome.ANSWERED, 60, now);
    }
    assertThat(answers).isBetween(8, 40);
    long fellBackMillis = now;
    for (; admission.currentLimit() < 2; now += 60) {
      admission.release(admitted(Priority.NORMAL), RunOutcome.ANSWERED, 60, now);
    }
    assertThat(now - fellBackMillis).isBetween(2_000L, 2_100L);
  }

  @Test
  void aSlowRouteIsNotTakenForAColdStart() {
    warmUp();
    for (int i = 0; i < 100; i++) {
      boolean photo = i % 20 < 10;
      RouteName route = photo ? new RouteName("photos") : ROUTE;
      Permit permit = new Permit(admitted(Priority.NORMAL).number(), route, false);
      admission.release(permit, RunOutcome.ANSWERED, photo ? 400 : 20, now);
    }
    assertThat(admission.currentLimit()).isEqualTo(4);
  }

  @Test
  void urgentRequestsAreServedFirstAndEvictTheLeastUrgent() {
    Permit running = admitted(Priority.NORMAL);
    Ticket bulk = queued(Priority.BULK);
    queued(Priority.NORMAL);
    AdmissionDecision.Queued urgent = (AdmissionDecision.Queued) offer(Priority.URGENT);
    assertThat(urgent.shed()).containsExactly(new Dropped(bulk, RefusalReason.QUEUE_FULL));
    assertThat(refusal(Priority.BULK)).isEqualTo(RefusalReason.QUEUE_FULL);
    AdmissionChanges changes = admission.release(running, RunOutcome.ANSWERED, 20, now);
    assertThat(changes.granted()).extracting(Grant::ticket).containsExactly(urgent.ticket());
  }

  @Test
  void refusesRequestsThatWouldMissTheDeadlineAndDropsQueuedOnesThatDo() {
    admission.release(admitted(Priority.NORMAL), RunOutcome.ANSWERED, 100, now);
    Permit running = admitted(Priority.NORMAL);
    assertThat(offer(Priority.NORMAL, now + 150, Standing.CLEAR))
        .isEqualTo(new AdmissionDecision.Refused(RefusalReason.DEADLINE));
    assertThat(offer(Priority.NORMAL, now + 250, Standing.CLEAR))
        .isInstanceOf(AdmissionDecision.Queued.class);
    now += 200;
    assertThat(admission.expire(now).dropped()).hasSize(1);
    assertThat(admission.release(running, RunOutcome.ANSWERED, 100, now).granted()).isEmpty();
  }

  @Test
  void slotsOfCancelledRequestsStayTakenForTheLingerTime() {
    warmUp();
    fill().forEach(permit -> admission.release(permit, RunOutcome.CANCELLED, 5, now));
    assertThat(admission.inFlight()).isZero();
    Ticket waiting = queued(Priority.NORMAL);
    assertThat(admission.expire(now + 249).granted()).isEmpty();
    assertThat(admission.expire(now + 250).granted())
        .extracting(Grant::ticket)
        .containsExactly(waiting);
  }

  @Test
  void aSecondReleaseFreesNoSecondSlot() {
    Permit first = admitted(Priority.NORMAL);
    queued(Priority.NORMAL);
    queued(Priority.NORMAL);
    assertThat(admission.release(first, RunOutcome.ANSWERED, 20, now).granted()).hasSize(1);
    assertThat(admission.release(first, RunOutcome.ANSWERED, 20, now).granted()).isEmpty();
    assertThat(admission.inFlight()).isEqualTo(1);
  }

  @Test
  void aSuspectRunsAloneAndAQuarantinedRequestIsRefused() {
    warmUp();
    Permit ordinary = admitted(Priority.NORMAL);
    assertThat(offer(Priority.NORMAL, FAR_MILLIS, Standing.QUARANTINED))
        .isEqualTo(new AdmissionDecision.Refused(RefusalReason.QUARANTINED));
    assertThat(offer(Priority.NORMAL, FAR_MILLIS, Standing.SUSPECT))
        .isInstanceOf(AdmissionDecision.Queued.class);
    queued(Priority.NORMAL);
    List<Grant> alone = admission.release(ordinary, RunOutcome.ANSWERED, 20, now).granted();
    assertThat(alone).hasSize(1);
    assertThat(alone.getFirst().permit().alone()).isTrue();
    assertThat(admission.release(alone.getFirst().permit(), RunOutcome.ANSWERED, 20, now).granted())
        .hasSize(1);
  }

  @Test
  void aPausedProcessRechecksRequestsBeforeSending() {
    AdmissionRequest due = request(Priority.NORMAL, 100, Standing.CLEAR);
    assertThat(admission.recheck(due, 99)).isEmpty();
    assertThat(admission.recheck(due, 100)).contains(RefusalReason.DEADLINE);
    AdmissionRequest crashing = request(Priority.NORMAL, 100, Standing.QUARANTINED);
    assertThat(admission.recheck(crashing, 0)).contains(RefusalReason.QUARANTINED);
    warmUp();
    admission.gate(new AdmissionGate(EndpointState.DOWN, VERSION, false, false, 1), now);
    assertThat(admission.recheck(request(Priority.NORMAL, FAR_MILLIS, Standing.CLEAR), now))
        .contains(RefusalReason.NOT_READY);
    admission.gate(open, now);
    assertThat(admission.currentLimit()).isEqualTo(1);
  }

  @Test
  void aDomainBeingRestoredUsesAShareOfTheSlots() {
    warmUp();
    admission.gate(new AdmissionGate(EndpointState.READY, VERSION, false, false, 0.5), now);
    admitted(Priority.NORMAL);
    admitted(Priority.NORMAL);
    assertThat(offer(Priority.NORMAL)).isInstanceOf(AdmissionDecision.Queued.class);
  }

  /** Runs requests of 20 ms at the concurrency limit until the limit has reached all slots. */
  private void warmUp() {
    for (int round = 0; round < 200 && admission.currentLimit() < 4; round++) {
      List<Permit> permits = fill();
      now += 20;
      permits.forEach(permit -> admission.release(permit, RunOutcome.ANSWERED, 20, now));
    }
  }

  private List<Permit> fill() {
    List<Permit> permits = new ArrayList<>();
    while (admission.inFlight() < admission.currentLimit()) {
      permits.add(admitted(Priority.NORMAL));
    }
    return permits;
  }

  private Permit admitted(Priority priority) {
    return ((AdmissionDecision.Admitted) offer(priority)).permit();
  }

  private Ticket queued(Priority priority) {
    return ((AdmissionDecision.Queued) offer(priority)).ticket();
  }

  private RefusalReason refusal(Priority priority) {
    return ((AdmissionDecision.Refused) offer(priority)).reason();
  }

  private AdmissionDecision offer(Priority priority) {
    return offer(priority, FAR_MILLIS, Standing.CLEAR);
  }

  private AdmissionDecision offer(Priority priority, long deadlineMillis, Standing standing) {
    return admission.offer(request(priority, deadlineMillis, standing), now);
  }

  private static AdmissionRequest request(
      Priority priority, long deadlineMillis, Standing standing) {
    RequestId id = new RequestId("r");
    return new AdmissionRequest(id, ROUTE, VERSION, priority, deadlineMillis, standing);
  }
}
