package io.hemlockbend.core.transfer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hemlockbend.core.transfer.BodyIntake.Credit;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BodyIntakeTest {
  private static final int WINDOW = 96_000;
  private static final int BODY_WINDOW = 64_000;
  private static final int STEP = 16_000;
  private static final long STALL_MILLIS = 400;
  private static final int BYTES_PER_MILLI = 1_000;
  private static final IntakeSettings SETTINGS =
      new IntakeSettings(BYTES_PER_MILLI * 1_000.0, WINDOW, BODY_WINDOW, STEP, STALL_MILLIS);

  private final BodyIntake intake = new BodyIntake(SETTINGS);

  @Test
  void grantsCreditsWithinTheWindowInOrderOfOffers() {
    assertThat(intake.offer(1, 300_000, false, 10_000, 0)).isTrue();
    assertThat(intake.offer(2, 300_000, false, 10_000, 0)).isTrue();
    assertThat(intake.grantCredits(0))
        .containsExactly(new Credit(1, 64_000), new Credit(2, 32_000));
    assertThat(intake.grantCredits(0)).isEmpty();
    intake.received(1, 16_000, 1);
    assertThat(intake.grantCredits(1)).containsExactly(new Credit(1, 80_000));
  }

  @Test
  void refusesBodyThatWouldNotBeCompleteInTime() {
    assertThat(intake.offer(1, 300_000, false, 300, 0)).isTrue();
    assertThat(intake.waitMillis(false)).isEqualTo(300);
    assertThat(intake.offer(2, 200_000, false, 499, 0)).isFalse();
    assertThat(intake.offer(3, 200_000, false, 500, 0)).isTrue();
  }

  @Test
  void lateBodiesWaitForAllOthersAndDelayNone() {
    intake.offer(1, 300_000, true, 10_000, 0);
    assertThat(intake.waitMillis(false)).isZero();
    assertThat(intake.grantCredits(0)).containsExactly(new Credit(1, 64_000));
    intake.offer(2, 300_000, false, 10_000, 0);
    assertThat(intake.waitMillis(true)).isEqualTo(600);
    assertThat(intake.grantCredits(0)).containsExactly(new Credit(2, 32_000));
    intake.received(1, 64_000, 1);
    assertThat(intake.grantCredits(1))
        .containsExactly(new Credit(2, 64_000), new Credit(1, 96_000));
  }

  @Test
  void overtakenLateBodyIsRemovedOnceItCannotBeCompleteInTime() {
    intake.offer(1, 300_000, false, 10_000, 0);
    intake.grantCredits(0);
    assertThat(intake.offer(2, 200_000, true, 600, 0)).isTrue();
    assertThat(intake.removeOvertaken(0)).isEmpty();
    intake.offer(3, 300_000, false, 10_000, 10);
    assertThat(intake.removeOvertaken(10)).containsExactly(2L);
    assertThat(intake.size()).isEqualTo(2);
    assertThat(intake.removeOvertaken(10)).isEmpty();
  }

  @Test
  void lateBodyWithCreditIsNotRemoved() {
    intake.offer(1, 200_000, true, 300, 0);
    intake.grantCredits(0);
    intake.offer(2, 300_000, false, 10_000, 10);
    assertThat(intake.removeOvertaken(10)).isEmpty();
  }

  /** A sender that has stopped sending must not block the link for others. */
  @Test
  void stalledBodyFreesItsShareOfTheWindow() {
    intake.offer(1, 64_000, false, 10_000, 0);
    intake.offer(2, 300_000, false, 10_000, 0);
    intake.grantCredits(0);
    intake.received(2, 32_000, STALL_MILLIS);
    assertThat(intake.grantCredits(STALL_MILLIS)).containsExactly(new Credit(2, 64_000));
    intake.received(2, 32_000, STALL_MILLIS + 1);
    assertThat(intake.grantCredits(STALL_MILLIS + 1)).containsExactly(new Credit(2, 128_000));
  }

  @Test
  void completeBodiesAndEndedRequestsAreRemoved() {
    intake.offer(1, 20_000, false, 10_000, 0);
    intake.offer(2, 20_000, false, 10_000, 0);
    intake.grantCredits(0);
    assertThat(intake.received(1, 10_000, 1)).isFalse();
    assertThat(intake.received(1, 10_000, 1)).isTrue();
    intake.remove(2);
    assertThat(intake.size()).isZero();
    assertThatThrownBy(() -> intake.received(2, 10_000, 2))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void rejectsBytesBeyondTheCredit() {
    intake.offer(1, 300_000, false, 10_000, 0);
    intake.grantCredits(0);
    assertThatThrownBy(() -> intake.received(1, 64_001, 1))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /**
   * Offers twice the rate of the link in simulated time: accepted bodies are complete in time, the
   * link stays busy, and at most one window is queued on it.
   */
  @Test
  void bodiesAreCompleteInTimeAtTwiceTheLinkRate() {
    BodyIntake intake = new BodyIntake(IntakeSettings.ofLink(BYTES_PER_MILLI * 1_000.0));
    SplittableRandom random = new SplittableRandom(16);
    Queue<int[]> link = new ArrayDeque<>();
    Map<Long, Long> dueMillis = new HashMap<>();
    List<Long> lateBy = new ArrayList<>();
    Map<Long, Integer> sent = new HashMap<>();
    long moved = 0;
    int queued = 0;
    long length = 20_000;
    for (long now = 0; now < length; now++) {
      if (random.nextInt(140) == 0) {
        long number = now + 1;
        if (intake.offer(number, 280_000, false, 1_000, now)) {
          dueMillis.put(number, now + 1_000);
          sent.put(number, 0);
        }
      }
      for (Credit credit : intake.grantCredits(now)) {
        int bytes = credit.untilBytes() - sent.put(credit.number(), credit.untilBytes());
        queued += bytes;
        link.add(new int[] {(int) credit.number(), bytes});
      }
      assertThat(queued).isLessThanOrEqualTo(IntakeSettings.UNKNOWN_RATE.windowBytes());
      int budget = BYTES_PER_MILLI;
      while (budget > 0 && !link.isEmpty()) {
        int[] head = link.peek();
        int bytes = Math.min(budget, head[1]);
        budget -= bytes;
        queued -= bytes;
        moved += bytes;
        head[1] -= bytes;
        if (intake.received(head[0], bytes, now)) {
          lateBy.add(now - dueMillis.get((long) head[0]));
        }
        if (head[1] == 0) {
          link.poll();
        }
      }
    }
    assertThat(lateBy).isNotEmpty().allMatch(late -> late <= 0);
    assertThat(moved).isGreaterThan((long) (0.85 * length * BYTES_PER_MILLI));
  }
}
