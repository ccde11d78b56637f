package io.hemlockbend.core.rollout;

import io.hemlockbend.core.evidence.Verdict;

/**
 * Traffic shares of a short move, by elapsed fraction of its duration. The first share is held
 * longest, since it exposes few calls to a bad version. The higher steps detect a version that
 * fails only under load, each held for long enough to be judged. The last step is reached well
 * before the deadline, which leaves time when the store is slow.
 */
public final class MoveRamp {
  /** The share of all traffic, in thousandths. */
  public static final int FULL_SHARE_PERMILLE = 1000;

  private static final double[] STEP_START_FRACTIONS = {0, 0.32, 0.42, 0.51, 0.60};
  private static final int[] SHARES_PERMILLE = {50, 120, 300, 600, FULL_SHARE_PERMILLE};
  private static final double TAKE_BACK_FRACTION = 0.85;

  /** Action on the version that traffic moves to. */
  public sealed interface Step {
    /**
     * Sets the share of the version.
     *
     * @param permille the share, in thousandths
     */
    record Share(int permille) implements Step {}

    /**
     * Takes all traffic off the version.
     *
     * @param reason why the version is taken back
     */
    record TakeBack(String reason) implements Step {}
  }

  private int index;

  /**
   * Returns the next action.
   *
   * @param verdict the current verdict on the version
   * @param elapsedMillis the time since the start of the move
   * @param durationMillis the time from the start to the deadline
   */
  public Step next(Verdict verdict, long elapsedMillis, long durationMillis) {
    double elapsed = (double) elapsedMillis / durationMillis;
    return switch (verdict) {
      case Verdict.Bad bad -> new Step.TakeBack(bad.reason());
      case Verdict.NotEnough unclear when unclear.suspicious() -> hold(unclear, elapsed);
      case Verdict.NotEnough ignored -> advance(elapsed);
      case Verdict.Good ignored -> advance(elapsed);
    };
  }

  /** Continues at the step of a share that is already in force. */
  public void resume(int permille) {
    while (index + 1 < SHARES_PERMILLE.length && SHARES_PERMILLE[index + 1] <= permille) {
      index++;
    }
  }

  private Step hold(Verdict.NotEnough unclear, double elapsed) {
    return elapsed >= TAKE_BACK_FRACTION
        ? new Step.TakeBack("still suspicious near the deadline: " + unclear.reason())
        : new Step.Share(SHARES_PERMILLE[index]);
  }

  private Step advance(double elapsed) {
    if (index + 1 < STEP_START_FRACTIONS.length && elapsed >= STEP_START_FRACTIONS[index + 1]) {
      index++;
    }
    return new Step.Share(SHARES_PERMILLE[index]);
  }
}
