package io.hemlockbend.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.util.List;
import org.junit.jupiter.api.Test;

class CrashTrackerTest {
  private static final RequestId CRASHING = new RequestId("crashing");
  private static final RequestId HARMLESS = new RequestId("harmless");

  private final QuarantineList list = new QuarantineList();
  private final CrashTracker first = new CrashTracker(new UpstreamId("u1"));
  private final CrashTracker second = new CrashTracker(new UpstreamId("u2"));

  @Test
  void quarantinesOnlyTheRequestInFlightAtTwoCrashes() {
    crash(first, CRASHING, HARMLESS);
    assertThat(list.standing(CRASHING, 0)).isEqualTo(Standing.SUSPECT);
    assertThat(list.standing(HARMLESS, 0)).isEqualTo(Standing.SUSPECT);
    crash(second, CRASHING);
    assertThat(list.standing(CRASHING, 0)).isEqualTo(Standing.QUARANTINED);
    assertThat(list.standing(HARMLESS, 0)).isEqualTo(Standing.SUSPECT);
    assertThat(list.standing(CRASHING, QuarantineList.RETENTION_MILLIS)).isEqualTo(Standing.CLEAR);
  }

  @Test
  void twoRequestsAtBothCrashesRunAloneUntilTheThird() {
    crash(first, CRASHING, HARMLESS);
    crash(second, CRASHING, HARMLESS);
    assertThat(list.standing(CRASHING, 0)).isEqualTo(Standing.SUSPECT);
    assertThat(list.standing(HARMLESS, 0)).isEqualTo(Standing.SUSPECT);
    list.answeredAlone(HARMLESS);
    assertThat(list.standing(HARMLESS, 0)).isEqualTo(Standing.CLEAR);
    crash(second, CRASHING);
    assertThat(list.standing(CRASHING, 0)).isEqualTo(Standing.QUARANTINED);
    assertThat(list.standing(HARMLESS, 0)).isEqualTo(Standing.CLEAR);
  }

  @Test
  void harmlessRequestAtTwoUnrelatedCrashesIsNotQuarantined() {
    CrashTracker third = new CrashTracker(new UpstreamId("u3"));
    crash(first, CRASHING);
    crash(third, HARMLESS);
    crash(second, CRASHING, HARMLESS);
    assertThat(list.standing(HARMLESS, 0)).isEqualTo(Standing.SUSPECT);
    crash(first, CRASHING);
    assertThat(list.standing(CRASHING, 0)).isEqualTo(Standing.QUARANTINED);
    assertThat(list.standing(HARMLESS, 0)).isEqualTo(Standing.SUSPECT);
  }

  @Test
  void countsRepeatedCrashesAndConnectionsBrokenJustBefore() {
    crash(first, CRASHING);
    first.started(CRASHING);
    first.connectionBroken(CRASHING, 100);
    first.started(HARMLESS);
    first.answered(HARMLESS);
    List<Suspicion> reports = first.crashed(list, 200);
    assertThat(reports).extracting(Suspicion::request).containsExactly(CRASHING);
    list.merge(reports, 200);
    assertThat(list.standing(CRASHING, 200)).isEqualTo(Standing.QUARANTINED);
    first.started(HARMLESS);
    first.connectionBroken(HARMLESS, 300);
    assertThat(first.crashed(list, 3_000)).isEmpty();
  }

  /** Nothing else may meet the dead upstream, which is back after some seconds. */
  @Test
  void newProcessShowsThatTheOneBeforeCrashedWithItsLastRequests() {
    first.started(HARMLESS);
    first.connectionBroken(HARMLESS, 100);
    first.responded(900);
    first.started(CRASHING);
    first.connectionBroken(CRASHING, 1_000);
    first.responded(1_020);
    assertThat(first.replaced(list, 6_000))
        .extracting(Suspicion::request)
        .containsExactly(CRASHING);
  }

  private void crash(CrashTracker tracker, RequestId... inFlight) {
    for (RequestId request : inFlight) {
      tracker.started(request);
    }
    list.merge(tracker.crashed(list, 0), 0);
  }
}
