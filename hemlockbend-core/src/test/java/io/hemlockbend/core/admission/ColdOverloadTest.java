package io.hemlockbend.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.traffic.ColdAllowance;
import io.hemlockbend.core.traffic.ColdRateLimiter;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates the seconds after a power failure of the whole mesh: a cold upstream gets new requests
 * and nested calls of requests that run elsewhere, at twice the rate that it sustains. A refused
 * nested call wastes the request that made it, so nearly all of them must be served, and new
 * requests get the rest.
 */
class ColdOverloadTest {
  private static final VersionKey VERSION =
      new VersionKey(new ServiceName("orders"), new VersionName("v1"));
  private static final long SEED = 7;
  private static final int END_MILLIS = 3_000;
  private static final double DECLARED_PER_SECOND = 32;
  private static final ColdAllowance ALLOWANCE = new ColdAllowance(1.5, 5);
  private static final double ALLOWED_PER_SECOND = ALLOWANCE.perSecond(DECLARED_PER_SECOND);

  private enum Kind {
    NESTED_CALL(60, 30, 30),
    NEW_REQUEST(250, 150, 60),
    /** Waits for its own nested calls, which take long. */
    LONG_RUN(600, 330, 60);

    private final long timeoutMillis;
    private final long serviceMillis;
    private final double perSecond;

    Kind(long timeoutMillis, long serviceMillis, double perSecond) {
      this.timeoutMillis = timeoutMillis;
      this.serviceMillis = serviceMillis;
      this.perSecond = perSecond;
    }
  }

  private record Running(Permit permit, Kind kind) {}

  private final ColdRateLimiter coldRate = new ColdRateLimiter(ALLOWANCE);
  private final AdmissionController controller =
      new AdmissionController(
          new AdmissionSettings(9, 9, 27, 500, 0),
          AdmissionGate.open(VERSION),
          new StartId("1"),
          coldRate,
          0);
  private final Map<Ticket, Kind> waiting = new HashMap<>();
  private final Map<Long, List<Running>> runsByEnd = new HashMap<>();
  private final Map<Kind, Integer> offered = new EnumMap<>(Kind.class);
  private final Map<Kind, Integer> served = new EnumMap<>(Kind.class);
  private final List<Long> sentMillis = new ArrayList<>();

  @Test
  void nestedCallsGoFirstAndTheRateIsUsed() {
    simulate(Kind.NESTED_CALL, Kind.NEW_REQUEST);
    assertThat(servedShareOfNestedCalls()).isGreaterThan(0.95);
    assertThat(sentMillis.size())
        .isGreaterThan((int) (0.8 * ALLOWED_PER_SECOND * END_MILLIS / 1_000));
    assertRateWithinAllowance();
  }

  /** The slots are exhausted before the rate. */
  @Test
  void longRunsLeaveSlotsForNestedCalls() {
    simulate(Kind.NESTED_CALL, Kind.LONG_RUN);
    assertThat(servedShareOfNestedCalls()).isGreaterThan(0.95);
    assertRateWithinAllowance();
  }

  private double servedShareOfNestedCalls() {
    return (double) served.get(Kind.NESTED_CALL) / offered.get(Kind.NESTED_CALL);
  }

  private void assertRateWithinAllowance() {
    for (long from : sentMillis) {
      long inSecond = sentMillis.stream().filter(at -> at >= from && at < from + 1_000).count();
      assertThat(inSecond).isLessThanOrEqualTo((long) ALLOWED_PER_SECOND);
    }
  }

  private void simulate(Kind... kinds) {
    coldRate.perSecond(DECLARED_PER_SECOND);
    coldRate.coldFor(END_MILLIS, 0);
    SplittableRandom random = new SplittableRandom(SEED);
    for (long now = 0; now < END_MILLIS; now++) {
      finish(now);
      apply(controller.expire(now), now);
      for (Kind kind : kinds) {
        if (random.nextDouble() < kind.perSecond / 1_000) {
          offer(kind, now);
        }
      }
    }
  }

  private void offer(Kind kind, long now) {
    offered.merge(kind, 1, Integer::sum);
    AdmissionRequest request =
        new AdmissionRequest(
            new RequestId("r"),
            new RouteName(kind.name()),
            VERSION,
            Priority.NORMAL,
            now + kind.timeoutMillis,
            Standing.CLEAR);
    switch (controller.offer(request, now)) {
      case AdmissionDecision.Admitted admitted -> start(admitted.permit(), kind, now);
      case AdmissionDecision.Queued queued -> {
        waiting.put(queued.ticket(), kind);
        queued.shed().forEach(dropped -> waiting.remove(dropped.ticket()));
      }
      case AdmissionDecision.Refused ignored -> {}
    }
  }

  private void start(Permit permit, Kind kind, long now) {
    sentMillis.add(now);
    served.merge(kind, 1, Integer::sum);
    runsByEnd
        .computeIfAbsent(now + kind.serviceMillis, at -> new ArrayList<>())
        .add(new Running(permit, kind));
  }

  private void finish(long now) {
    List<Running> due = runsByEnd.remove(now);
    if (due != null) {
      for (Running run : due) {
        apply(
            controller.release(run.permit(), RunOutcome.ANSWERED, run.kind().serviceMillis, now),
            now);
      }
    }
  }

  private void apply(AdmissionChanges changes, long now) {
    changes.dropped().forEach(dropped -> waiting.remove(dropped.ticket()));
    for (Grant grant : changes.granted()) {
      start(grant.permit(), waiting.remove(grant.ticket()), now);
    }
  }
}
