package io.hemlockbend.core.rollout;

import io.hemlockbend.core.evidence.Verdict;

/**
 * Traffic shares of a short move, by elapsed fraction of its duration and by the evidence at each
 * share.
 *
 * <p>The first share is held longest, since it exposes few calls to a bad version. It loads no
 * upstream as the move will, so a version that fails under load passes it. The second share
 * therefore goes to one upstream of the version at a time, and loads that one somewhat more than
 * all traffic loads each of them: a fault under load shows while most calls still go to the
 * predecessor. The full share is judged before the move is complete, as nothing can be taken back
 * after that. The full share is reached well before the deadline, which leaves time when the store
 * is slow.
 */
public final class MoveRamp {
  /** The share of all traffic, in thousandths. */
  public static final int FULL_SHARE_PERMILLE = 1000;

  private static final int SAMPLE_PERMILLE = 50;
  private static final int HALF_PERMILLE = 500;

  /** Bounds what a bad version gets where few upstreams share the load. */
  private static final int MAX_LOADED_PERMILLE = 400;

  /** Load of the one upstream of the loaded step, relative to its load after the move. */
  private static final double LOAD_MARGIN = 1.2;

  private static final int SAMPLE = 0;
  private static final int LOADED = 1;
  private static final int HALF = 2;
  private static final int FULL = 3;
  private static final double[] STEP_START_FRACTIONS = {0, 0.40, 0.53, 0.60};

  /** How long each step lasts at least, also where a leader that comes late begins with it. */
  private static final double[] MIN_STEP_FRACTIONS = {0, 0.10, 0.05};

  /** How much longer a step may last while there are too few calls to judge it. */
  private static final double PATIENCE_FRACTION = 0.03;

  /** A full share with too few calls to judge is complete at this fraction. */
  private static final double COMPLETE_FRACTION = 0.80;

  private static final double TAKE_BACK_FRACTION = 0.85;

  /** How long the full share is judged at least. */
  private static final long MIN_FULL_MILLIS = 1_500;

  /** How long a suspicious version keeps its share before it gets the smallest one again. */
  private static final long MAX_DOUBT_MILLIS = 1_000;

  /** Action on the version that traffic moves to. */
  public sealed interface Step {
    /**
     * Sets the share of the version.
     *
     * @param permille the share, in thousandths
     * @param oneUpstream whether all of it goes to one upstream of the version at a time
     */
    record Share(int permille, boolean oneUpstream) implements Step {}

    /** Keeps the full share; nothing speaks against completing the move. */
    record Complete() implements Step {}

    /**
     * Takes all traffic off the version.
     *
     * @param reason why the version is taken back
     */
    record TakeBack(String reason) implements Step {}
  }

  private int index;
  private int loadedPermille;
  private double stepSince;
  private long fullSinceMillis = -1;
  private long doubtSinceMillis = -1;

  /**
   * Returns the next action.
   *
   * @param verdict the current verdict on the version
   * @param upstreams the number of upstreams of the version that accept work
   * @param elapsedMillis the time since the start of the move
   * @param durationMillis the time from the start to the deadline
   */
  public Step next(Verdict verdict, int upstreams, long elapsedMillis, long durationMillis) {
    double elapsed = (double) elapsedMillis / durationMillis;
    return switch (verdict) {
      case Verdict.Bad bad -> new Step.TakeBack(bad.reason());
      case Verdict.NotEnough unclear when unclear.suspicious() ->
          hold(unclear, elapsedMillis, elapsed);
      case Verdict.NotEnough ignored -> advance(false, upstreams, elapsedMillis, elapsed);
      case Verdict.Good ignored -> advance(true, upstreams, elapsedMillis, elapsed);
    };
  }

  /** Continues at the step of a share that is already in force. */
  public void resume(int permille) {
    if (permille >= FULL_SHARE_PERMILLE) {
      index = FULL;
    } else if (permille >= HALF_PERMILLE) {
      index = HALF;
    } else if (permille > SAMPLE_PERMILLE) {
      index = LOADED;
      loadedPermille = permille;
    }
  }

  private Step hold(Verdict.NotEnough unclear, long elapsedMillis, double elapsed) {
    if (elapsed >= TAKE_BACK_FRACTION) {
      return new Step.TakeBack("still suspicious near the deadline: " + unclear.reason());
    }
    if (doubtSinceMillis < 0) {
      doubtSinceMillis = elapsedMillis;
    }
    fullSinceMillis = -1;
    return elapsedMillis - doubtSinceMillis < MAX_DOUBT_MILLIS
        ? share()
        : new Step.Share(SAMPLE_PERMILLE, false);
  }

  private Step advance(boolean judged, int upstreams, long elapsedMillis, double elapsed) {
    doubtSinceMillis = -1;
    if (index < FULL) {
      double patience = judged ? 0 : PATIENCE_FRACTION;
      double held = elapsed - stepSince;
      if (elapsed >= STEP_START_FRACTIONS[index + 1] + patience
          && held >= MIN_STEP_FRACTIONS[index]) {
        index++;
        stepSince = elapsed;
        loadedPermille = index == LOADED ? loadedPermille(upstreams) : loadedPermille;
      }
    }
    if (index == FULL && fullSinceMillis < 0) {
      fullSinceMillis = elapsedMillis;
    }
    boolean judgedFull = judged && elapsedMillis - fullSinceMillis >= MIN_FULL_MILLIS;
    return index == FULL && (judgedFull || elapsed >= COMPLETE_FRACTION)
        ? new Step.Complete()
        : share();
  }

  private Step share() {
    return switch (index) {
      case SAMPLE -> new Step.Share(SAMPLE_PERMILLE, false);
      case LOADED -> new Step.Share(loadedPermille, true);
      case HALF -> new Step.Share(HALF_PERMILLE, false);
      default -> new Step.Share(FULL_SHARE_PERMILLE, false);
    };
  }

  private static int loadedPermille(int upstreams) {
    double share = LOAD_MARGIN * FULL_SHARE_PERMILLE / Math.max(1, upstreams);
    return (int) Math.clamp(share, SAMPLE_PERMILLE, MAX_LOADED_PERMILLE);
  }
}
