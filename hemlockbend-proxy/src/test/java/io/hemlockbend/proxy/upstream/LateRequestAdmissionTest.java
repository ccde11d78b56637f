package io.hemlockbend.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.admission.AdmissionController;
import io.hemlockbend.core.admission.AdmissionDecision;
import io.hemlockbend.core.admission.AdmissionGate;
import io.hemlockbend.core.admission.AdmissionSettings;
import io.hemlockbend.core.admission.Permit;
import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.admission.Ticket;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.peer.RunRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Simulates an overload: twice as many requests as the upstream can run, and late ones of callers
 * that retry. The number of in-time answers must stay near the capacity of the upstream.
 */
class LateRequestAdmissionTest {
  private static final VersionKey VERSION =
      new VersionKey(new ServiceName("quotes"), new VersionName("v1"));
  private static final int SLOTS = 4;
  private static final long SERVICE_MILLIS = 60;
  private static final long TARGET_MILLIS = 200;
  private static final long DEADLINE_MILLIS = 1_200;
  private static final long END_MILLIS = 10_000;

  private record Job(long arrivedMillis, boolean late) {}

  private final AdmissionController controller =
      new AdmissionController(
          new AdmissionSettings(SLOTS, SLOTS, 3 * SLOTS, 500, 0),
          AdmissionGate.open(VERSION),
          new StartId("1"),
          0);
  private final Map<Ticket, Job> waiting = new HashMap<>();
  private final Map<Long, Deque<Map.Entry<Permit, Job>>> ends = new HashMap<>();
  private int inTime;
  private int answeredLate;

  @Test
  void lateRequestsTakeNoCapacityFromTimelyOnesUnderOverload() {
    for (long now = 0; now < END_MILLIS; now++) {
      finish(now);
      if (now % 15 == 0) {
        offer(new Job(now, false), now);
        offer(new Job(now, false), now);
        offer(new Job(now, true), now);
      }
    }
    double capacity = (double) SLOTS * END_MILLIS / SERVICE_MILLIS;
    assertThat(inTime).isGreaterThan((int) (0.95 * capacity));
    assertThat(answeredLate).isLessThan((int) (0.05 * capacity));
  }

  @Test
  void lateRequestsRunWhenNothingElseWaits() {
    for (long now = 0; now < END_MILLIS; now++) {
      finish(now);
      if (now % 100 == 0) {
        offer(new Job(now, true), now);
      }
    }
    assertThat(answeredLate).isGreaterThan((int) (0.95 * END_MILLIS / 100));
  }

  private void offer(Job job, long now) {
    RunRequest run =
        new RunRequest(
            "id",
            "r1",
            VERSION,
            new UpstreamId("i-1"),
            1,
            true,
            job.late() ? 0 : TARGET_MILLIS,
            DEADLINE_MILLIS,
            false,
            new HttpRequest("GET", "/", List.of(), new byte[0]));
    switch (controller.offer(AdmissionRequests.of(run, new RequestId("f"), now), now)) {
      case AdmissionDecision.Admitted admitted -> start(admitted.permit(), job, now);
      case AdmissionDecision.Queued queued -> {
        waiting.put(queued.ticket(), job);
        queued.shed().forEach(dropped -> waiting.remove(dropped.ticket()));
      }
      case AdmissionDecision.Refused ignored -> {}
    }
  }

  private void start(Permit permit, Job job, long now) {
    ends.computeIfAbsent(now + SERVICE_MILLIS, at -> new ArrayDeque<>())
        .add(Map.entry(permit, job));
  }

  private void finish(long now) {
    Deque<Map.Entry<Permit, Job>> due = ends.remove(now);
    while (due != null && !due.isEmpty()) {
      Map.Entry<Permit, Job> end = due.poll();
      boolean timely = now - end.getValue().arrivedMillis() <= TARGET_MILLIS;
      inTime += !end.getValue().late() && timely ? 1 : 0;
      answeredLate += end.getValue().late() ? 1 : 0;
      controller
          .release(end.getKey(), RunOutcome.ANSWERED, SERVICE_MILLIS, now)
          .granted()
          .forEach(grant -> start(grant.permit(), waiting.remove(grant.ticket()), now));
    }
  }
}
