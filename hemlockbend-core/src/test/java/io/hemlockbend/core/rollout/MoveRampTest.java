package io.hemlockbend.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.evidence.Verdict;
import org.junit.jupiter.api.Test;

class MoveRampTest {
  private static final long DURATION_MILLIS = 15_000;
  private static final int UPSTREAMS = 4;
  private static final Verdict CLEAN = new Verdict.NotEnough(false, "few calls");
  private static final Verdict SUSPICIOUS = new Verdict.NotEnough(true, "failures");

  private final MoveRamp ramp = new MoveRamp();

  @Test
  void movesAllTrafficWellBeforeTheDeadline() {
    int last = 0;
    for (long at = 0; at <= DURATION_MILLIS * 0.65; at += 250) {
      int permille = share(ramp.next(CLEAN, UPSTREAMS, at, DURATION_MILLIS));
      assertThat(permille).isGreaterThanOrEqualTo(last);
      last = permille;
    }
    assertThat(last).isEqualTo(MoveRamp.FULL_SHARE_PERMILLE);
  }

  @Test
  void exposesLessThanATenthOfTrafficBeforeLargeShares() {
    double exposed = 0;
    for (long at = 0; at < DURATION_MILLIS; at += 250) {
      int permille = share(ramp.next(CLEAN, UPSTREAMS, at, DURATION_MILLIS));
      if (permille > 300) {
        break;
      }
      exposed += permille / 1000.0 * 250;
    }
    assertThat(exposed).isLessThan(0.1 * DURATION_MILLIS);
  }

  @Test
  void takesBadVersionBackAtOnce() {
    assertThat(ramp.next(new Verdict.Bad("errors"), UPSTREAMS, 100, DURATION_MILLIS))
        .isInstanceOf(MoveRamp.Step.TakeBack.class);
  }

  @Test
  void holdsTheShareOfSuspiciousVersionAndTakesItBackNearTheDeadline() {
    ramp.next(CLEAN, UPSTREAMS, 0, DURATION_MILLIS);
    assertThat(share(ramp.next(SUSPICIOUS, UPSTREAMS, DURATION_MILLIS / 2, DURATION_MILLIS)))
        .isEqualTo(50);
    assertThat(ramp.next(SUSPICIOUS, UPSTREAMS, DURATION_MILLIS * 9 / 10, DURATION_MILLIS))
        .isInstanceOf(MoveRamp.Step.TakeBack.class);
  }

  @Test
  void resumesAtTheShareInForce() {
    ramp.resume(300);
    assertThat(share(ramp.next(SUSPICIOUS, UPSTREAMS, 0, DURATION_MILLIS))).isEqualTo(300);
  }

  /** A share that is spread over all upstreams shows no fault under load before most calls move. */
  @Test
  void loadsOneUpstreamAsTheMoveWillBeforeItGetsHalfOfTheTraffic() {
    for (int upstreams = 3; upstreams <= 20; upstreams++) {
      MoveRamp fresh = new MoveRamp();
      double loaded = 0;
      for (long at = 0; at < DURATION_MILLIS; at += 250) {
        MoveRamp.Step.Share step =
            (MoveRamp.Step.Share) fresh.next(CLEAN, upstreams, at, DURATION_MILLIS);
        if (step.permille() >= 500) {
          break;
        }
        loaded = step.oneUpstream() ? Math.max(loaded, step.permille() / 1000.0) : loaded;
      }
      assertThat(loaded * upstreams).as("%d upstreams", upstreams).isGreaterThanOrEqualTo(1);
    }
  }

  /** The leader that took the first step is gone; the time since then is no evidence. */
  @Test
  void leaderThatComesLateLoadsOneUpstreamForAsLong() {
    long loadedMillis = 0;
    for (long at = DURATION_MILLIS * 6 / 10; at < DURATION_MILLIS; at += 250) {
      MoveRamp.Step step = ramp.next(CLEAN, UPSTREAMS, at, DURATION_MILLIS);
      if (share(step) >= 500) {
        break;
      }
      loadedMillis += ((MoveRamp.Step.Share) step).oneUpstream() ? 250 : 0;
    }
    assertThat(loadedMillis).isBetween(1_500L, 2_500L);
  }

  /** A completed move can't be taken back. */
  @Test
  void fullShareIsJudgedBeforeTheMoveCompletes() {
    Verdict good = new Verdict.Good("calls");
    ramp.resume(MoveRamp.FULL_SHARE_PERMILLE);
    assertThat(ramp.next(good, UPSTREAMS, 9_000, DURATION_MILLIS)).isEqualTo(full());
    assertThat(ramp.next(good, UPSTREAMS, 10_250, DURATION_MILLIS)).isEqualTo(full());
    assertThat(ramp.next(CLEAN, UPSTREAMS, 11_000, DURATION_MILLIS)).isEqualTo(full());
    assertThat(ramp.next(good, UPSTREAMS, 11_000, DURATION_MILLIS))
        .isEqualTo(new MoveRamp.Step.Complete());
  }

  @Test
  void doubtAtTheFullShareGivesTheTrafficBackToThePredecessor() {
    ramp.resume(MoveRamp.FULL_SHARE_PERMILLE);
    assertThat(ramp.next(SUSPICIOUS, UPSTREAMS, 9_000, DURATION_MILLIS)).isEqualTo(full());
    assertThat(share(ramp.next(SUSPICIOUS, UPSTREAMS, 10_000, DURATION_MILLIS))).isEqualTo(50);
    assertThat(ramp.next(CLEAN, UPSTREAMS, 10_250, DURATION_MILLIS)).isEqualTo(full());
  }

  private static MoveRamp.Step full() {
    return new MoveRamp.Step.Share(MoveRamp.FULL_SHARE_PERMILLE, false);
  }

  private static int share(MoveRamp.Step step) {
    return ((MoveRamp.Step.Share) step).permille();
  }
}
