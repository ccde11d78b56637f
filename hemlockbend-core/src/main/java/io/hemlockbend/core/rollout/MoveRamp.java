package io.hemlockbend.core.rollout;

import io.hemlockbend.core.evidence.Verdict;

/**
 * The shares of a short move of traffic, by the part of its time that has passed. The first share
 * is held longest: a bad version is found there at little cost. The steps above show a version that
 * fails only under load, each for long enough to be judged. The last one ends well before the
 * deadline, so that there is time left when the store is slow.
 */
public final class MoveRamp {
  /** The share that means all traffic, in thousandths. */
  public static final int ALL_PERMILLE = 1000;

  private static final double[] FROM = {0, 0.32, 0.42, 0.51, 0.60};
  private static final int[] SHARES_PERMILLE = {50, 120, 300, 600, ALL_PERMILLE};
  private static final double GIVE_UP_FROM = 0.85;

  /** What to do with a version under move. */
  public sealed interface Step {
    /**
     * Gives the version a share.
     *
     * @param permille the share, in thousandths
     */
    record Share(int permille) implements Step {}

    /**
     * Takes all traffic off the version.
     *
     * @param reason why
     */
    record TakeBack(String reason) implements Step {}
  }

  private int index;

  /**
   * Returns what to do now.
   *
   * @param verdict what is known of the version
   * @param elapsedMillis how long the move has lasted
   * @param durationMillis how long it may last
   */
  public Step next(Verdict verdict, long elapsedMillis, long durationMillis) {
    double part = (double) elapsedMillis / durationMillis;
    return switch (verdict) {
      case Verdict.Bad bad -> new Step.TakeBack(bad.reason());
      case Verdict.NotEnough unclear when unclear.suspicious() -> hold(unclear, part);
      case Verdict.NotEnough ignored -> climb(part);
      case Verdict.Good ignored -> climb(part);
    };
  }

  /** Begins at the step whose share is in force already. */
  public void resume(int permille) {
    while (index + 1 < SHARES_PERMILLE.length && SHARES_PERMILLE[index + 1] <= permille) {
      index++;
    }
  }

  private Step hold(Verdict.NotEnough unclear, double part) {
    return part >= GIVE_UP_FROM
        ? new Step.TakeBack("still suspicious near the deadline: " + unclear.reason())
        : new Step.Share(SHARES_PERMILLE[index]);
  }

  private Step climb(double part) {
    if (index + 1 < FROM.length && part >= FROM[index + 1]) {
      index++;
    }
    return new Step.Share(SHARES_PERMILLE[index]);
  }
}
