package io.hemlockbend.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.util.List;
import org.junit.jupiter.api.Test;

class CrashTrackerTest {
  private static final RequestId KILLER = new RequestId("killer");
  private static final RequestId INNOCENT = new RequestId("innocent");

  private final QuarantineList list = new QuarantineList();
  private final CrashTracker first = new CrashTracker(new UpstreamId("u1"));
  private final CrashTracker second = new CrashTracker(new UpstreamId("u2"));

  @Test
  void refusesTheRequestAtItsSecondCrashAndNoOtherInFlight() {
    crash(first, KILLER, INNOCENT);
    assertThat(list.standing(KILLER, 0)).isEqualTo(Standing.SUSPECT);
    assertThat(list.standing(INNOCENT, 0)).isEqualTo(Standing.SUSPECT);
    crash(second, KILLER);
    assertThat(list.standing(KILLER, 0)).isEqualTo(Standing.QUARANTINED);
    assertThat(list.standing(INNOCENT, 0)).isEqualTo(Standing.SUSPECT);
    assertThat(list.standing(KILLER, QuarantineList.KEEP_MILLIS)).isEqualTo(Standing.CLEAR);
  }

  @Test
  void twoInFlightAtBothCrashesGoOnAloneUntilTheThird() {
    crash(first, KILLER, INNOCENT);
    crash(second, KILLER, INNOCENT);
    assertThat(list.standing(KILLER, 0)).isEqualTo(Standing.SUSPECT);
    assertThat(list.standing(INNOCENT, 0)).isEqualTo(Standing.SUSPECT);
    list.answeredAlone(INNOCENT);
    assertThat(list.standing(INNOCENT, 0)).isEqualTo(Standing.CLEAR);
    crash(second, KILLER);
    assertThat(list.standing(KILLER, 0)).isEqualTo(Standing.QUARANTINED);
    assertThat(list.standing(INNOCENT, 0)).isEqualTo(Standing.CLEAR);
  }

  @Test
  void anInnocentInFlightAtTwoCrashesOfDifferentCausesIsNotRefused() {
    CrashTracker third = new CrashTracker(new UpstreamId("u3"));
    crash(first, KILLER);
    crash(third, INNOCENT);
    crash(second, KILLER, INNOCENT);
    assertThat(list.standing(INNOCENT, 0)).isEqualTo(Standing.SUSPECT);
    crash(first, KILLER);
    assertThat(list.standing(KILLER, 0)).isEqualTo(Standing.QUARANTINED);
    assertThat(list.standing(INNOCENT, 0)).isEqualTo(Standing.SUSPECT);
  }

  @Test
  void countsASecondCrashOfTheSameUpstreamAndConnectionsThatBrokeJustBefore() {
    crash(first, KILLER);
    first.started(KILLER);
    first.broken(KILLER, 100);
    first.started(INNOCENT);
    first.answered(INNOCENT);
    List<Suspicion> reports = first.crashed(list, 200);
    assertThat(reports).extracting(Suspicion::request).containsExactly(KILLER);
    list.merge(reports, 200);
    assertThat(list.standing(KILLER, 200)).isEqualTo(Standing.QUARANTINED);
    first.started(INNOCENT);
    first.broken(INNOCENT, 300);
    assertThat(first.crashed(list, 3_000)).isEmpty();
  }

  private void crash(CrashTracker tracker, RequestId... inFlight) {
    for (RequestId request : inFlight) {
      tracker.started(request);
    }
    list.merge(tracker.crashed(list, 0), 0);
  }
}
