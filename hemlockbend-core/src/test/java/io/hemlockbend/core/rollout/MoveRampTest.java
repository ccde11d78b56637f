package io.hemlockbend.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.evidence.Verdict;
import org.junit.jupiter.api.Test;

class MoveRampTest {
  private static final long DURATION_MILLIS = 15_000;
  private static final Verdict CLEAN = new Verdict.NotEnough(false, "few calls");
  private static final Verdict SUSPICIOUS = new Verdict.NotEnough(true, "failures");

  private final MoveRamp ramp = new MoveRamp();

  @Test
  void movesAllTrafficWellBeforeTheDeadline() {
    int last = 0;
    for (long at = 0; at <= DURATION_MILLIS * 0.65; at += 250) {
      int permille = share(ramp.next(CLEAN, at, DURATION_MILLIS));
      assertThat(permille).isGreaterThanOrEqualTo(last);
      last = permille;
    }
    assertThat(last).isEqualTo(MoveRamp.FULL_SHARE_PERMILLE);
  }

  @Test
  void exposesLessThanATenthOfTrafficBeforeLargeShares() {
    double exposed = 0;
    for (long at = 0; at < DURATION_MILLIS; at += 250) {
      int permille = share(ramp.next(CLEAN, at, DURATION_MILLIS));
      if (permille > 300) {
        break;
      }
      exposed += permille / 1000.0 * 250;
    }
    assertThat(exposed).isLessThan(0.1 * DURATION_MILLIS);
  }

  @Test
  void takesBadVersionBackAtOnce() {
    assertThat(ramp.next(new Verdict.Bad("errors"), 100, DURATION_MILLIS))
        .isInstanceOf(MoveRamp.Step.TakeBack.class);
  }

  @Test
  void holdsTheShareOfSuspiciousVersionAndTakesItBackNearTheDeadline() {
    ramp.next(CLEAN, 0, DURATION_MILLIS);
    assertThat(share(ramp.next(SUSPICIOUS, DURATION_MILLIS / 2, DURATION_MILLIS))).isEqualTo(50);
    assertThat(ramp.next(SUSPICIOUS, DURATION_MILLIS * 9 / 10, DURATION_MILLIS))
        .isInstanceOf(MoveRamp.Step.TakeBack.class);
  }

  @Test
  void resumesAtTheShareInForce() {
    ramp.resume(300);
    assertThat(share(ramp.next(SUSPICIOUS, 0, DURATION_MILLIS))).isEqualTo(300);
  }

  private static int share(MoveRamp.Step step) {
    return ((MoveRamp.Step.Share) step).permille();
  }
}
