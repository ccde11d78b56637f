package io.hemlockbend.core.admission;

/**
 * How many requests the upstream may run at once now: from what a cold one bears up to its slots.
 *
 * <p>The limit rises by one when it was in full use, enough answers came and the step time is over;
 * while answers are slow the step time is a multiple, so that the limit rises slower than a cold
 * upstream warms up, and an upstream that stays slow for another reason still gets its slots back.
 *
 * <p>The limit falls back to the cold slots at a new start, at an answer that tells of overload,
 * and when the latest answers were far slower than usual: within its slots a warm upstream is
 * neither overloaded nor slowed by load, so that it must have fallen back into a cold start.
 * Slowness counts so once, until the limit rose while answers came at the usual speed. A broken
 * connection halves the limit.
 */
final class ConcurrencyLimit {
  private static final int RECENT_MASK = 0xFF;
  private static final int SLOW_TO_FALL_BACK = 6;
  private static final int LEAST_ANSWERS_PER_STEP = 4;
  private static final int SLOW_STEP_FACTOR = 4;
  private static final double SLOW_RATIO = 3;
  private static final double MEAN_WEIGHT = 1.0 / 16;
  private static final double MEAN_TO_FALL_BACK = 2;
  private static final double MEAN_TO_DELAY = 1.5;
  private static final double MEAN_TO_REARM = 1.25;

  private final int slots;
  private final int coldSlots;
  private final long stepMillis;
  private int limit;
  private int recentSlow;
  private double recentRatio = 1;
  private int answers;
  private boolean fullyUsed;
  private boolean armed = true;
  private long steppedMillis;

  ConcurrencyLimit(AdmissionSettings settings, long nowMillis) {
    this.slots = settings.slots();
    this.coldSlots = settings.coldSlots();
    this.stepMillis = settings.stepMillis();
    fallBack(nowMillis);
  }

  int limit() {
    return limit;
  }

  /** Notes how many requests run, so that the limit rises only where it binds. */
  void running(int count) {
    fullyUsed |= count >= limit;
  }

  /** Starts over from what a cold upstream bears; it is taken as slow until answers show better. */
  void fallBack(long nowMillis) {
    armed = false;
    recentRatio = Math.max(recentRatio, MEAN_TO_FALL_BACK);
    limitTo(coldSlots, nowMillis);
  }

  /**
   * Takes in how a request ended.
   *
   * @param outcome how
   * @param ratio its service time over the usual one
   * @param nowMillis the time
   */
  void ended(RunOutcome outcome, double ratio, long nowMillis) {
    if (outcome == RunOutcome.OVERLOADED) {
      fallBack(nowMillis);
    } else if (outcome == RunOutcome.BROKEN) {
      limitTo(Math.max(coldSlots, limit / 2), nowMillis);
    } else if (outcome.timed()) {
      timed(outcome, ratio, nowMillis);
    }
  }

  private void timed(RunOutcome outcome, double ratio, long nowMillis) {
    recentSlow = (recentSlow << 1 | (ratio > SLOW_RATIO ? 1 : 0)) & RECENT_MASK;
    recentRatio += MEAN_WEIGHT * (ratio - recentRatio);
    boolean slow =
        Integer.bitCount(recentSlow) >= SLOW_TO_FALL_BACK || recentRatio > MEAN_TO_FALL_BACK;
    if (armed && slow) {
      fallBack(nowMillis);
    } else if (outcome == RunOutcome.ANSWERED) {
      answers++;
      raise(nowMillis);
    }
  }

  private void raise(long nowMillis) {
    boolean enough = answers >= Math.max(LEAST_ANSWERS_PER_STEP, limit);
    long pauseMillis = recentRatio < MEAN_TO_DELAY ? stepMillis : SLOW_STEP_FACTOR * stepMillis;
    boolean due = nowMillis - steppedMillis >= pauseMillis;
    if (limit < slots && fullyUsed && enough && due) {
      armed |= recentRatio < MEAN_TO_REARM;
      limitTo(limit + 1, nowMillis);
    }
  }

  private void limitTo(int value, long nowMillis) {
    limit = value;
    answers = 0;
    fullyUsed = false;
    steppedMillis = nowMillis;
  }
}
