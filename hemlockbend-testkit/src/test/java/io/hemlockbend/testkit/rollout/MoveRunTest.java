package io.hemlockbend.testkit.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class MoveRunTest {
  private static final int SEEDS = 3;
  private static final double CALLS_PER_SECOND = 100;

  private static MoveResult run(long seed, Badness badness, Trouble trouble, boolean naive) {
    return MoveRun.run(new Scenario(seed, badness, trouble, CALLS_PER_SECOND), naive);
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void goodVersionIsDoneInTime(Trouble trouble) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      MoveResult result = run(seed, Badness.NONE, trouble, false);
      assertThat(result.takenBackMillis()).isEqualTo(-1);
      assertThat(result.finishedMillis()).isBetween(0L, MoveRun.MOVE_MILLIS);
    }
  }

  @ParameterizedTest
  @EnumSource(value = Badness.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void badVersionIsTakenBack(Badness badness) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      MoveResult result = run(seed, badness, Trouble.CALM, false);
      assertThat(result.takenBackMillis()).isPositive();
      assertThat(result.harmedCalls()).isLessThan(result.calls() / 20);
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Trouble.class,
      names = {"SICK_DOMAIN", "OVERLOAD"})
  void theModelCatchesVerdictsWithoutComparison(Trouble trouble) {
    assertThat(run(1, Badness.NONE, trouble, true).takenBackMillis()).isPositive();
  }

  @Test
  void theModelCatchesControllerWithoutSuccessor() {
    assertThat(run(1, Badness.NONE, Trouble.HOLDER_DEATH, true).finishedMillis()).isEqualTo(-1);
  }

  @Test
  void sameSeedGivesSameResult() {
    assertThat(run(5, Badness.LATE, Trouble.SLOW_PLATFORM, false))
        .isEqualTo(run(5, Badness.LATE, Trouble.SLOW_PLATFORM, false));
  }
}
