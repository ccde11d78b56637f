package io.hemlockbend.core.admission;

/**
 * Adaptive concurrency limit of an upstream, from its cold slots up to its slots.
 *
 * <p>The limit rises by one when it was fully used, enough answers arrived and the step time has
 * passed. While answers are slow the step time is multiplied, so that the limit rises more slowly
 * than a cold upstream warms up, and an upstream that is slow for another reason still regains its
 * slots.
 *
 * <p>The limit falls back to the cold slots at a new start of the process, at an overload response,
 * and when recent answers were far slower than usual: within its slots a warm upstream is neither
 * overloaded nor slowed down by load, so it must be in a cold start again. After such a fallback
 * slowness is ignored until the limit has risen with answers at the usual speed. A broken
 * connection halves the limit.
 */
final class ConcurrencyLimit {
  private static final int RECENT_ANSWERS_MASK = 0xFF;
  private static final int SLOW_ANSWERS_TO_FALL_BACK = 6;
  private static final int MIN_ANSWERS_PER_STEP = 4;
  private static final int SLOW_STEP_FACTOR = 4;
  private static final double SLOW_RATIO = 3;
  private static final double MEAN_WEIGHT = 1.0 / 16;
  private static final double MEAN_TO_FALL_BACK = 2;
  private static final double MEAN_TO_SLOW_STEPS = 1.5;
  private static final double MEAN_TO_REARM = 1.25;

  private final int slots;
  private final int coldSlots;
  private final long stepMillis;
  private int limit;
  private int recentSlow;
  private double recentRatio = 1;
  private int answers;
  private boolean fullyUsed;
  private boolean slownessArmed = true;
  private long lastStepMillis;

  ConcurrencyLimit(AdmissionSettings settings, long nowMillis) {
    this.slots = settings.slots();
    this.coldSlots = settings.coldSlots();
    this.stepMillis = settings.stepMillis();
    fallBack(nowMillis);
  }

  int limit() {
    return limit;
  }

  /** Records the number of running requests; the limit rises only if it was reached. */
  void running(int count) {
    fullyUsed |= count >= limit;
  }

  /** Resets the limit to the cold slots; the upstream counts as slow until answers are faster. */
  void fallBack(long nowMillis) {
    slownessArmed = false;
    recentRatio = Math.max(recentRatio, MEAN_TO_FALL_BACK);
    setLimit(coldSlots, nowMillis);
  }

  /**
   * Adjusts the limit after a request has ended.
   *
   * @param outcome the outcome of the request
   * @param ratio its service time divided by the usual one
   * @param nowMillis the time
   */
  void recordEnd(RunOutcome outcome, double ratio, long nowMillis) {
    if (outcome == RunOutcome.OVERLOADED) {
      fallBack(nowMillis);
    } else if (outcome == RunOutcome.BROKEN) {
      setLimit(Math.max(coldSlots, limit / 2), nowMillis);
    } else if (outcome.timed()) {
      timed(outcome, ratio, nowMillis);
    }
  }

  private void timed(RunOutcome outcome, double ratio, long nowMillis) {
    recentSlow = (recentSlow << 1 | (ratio > SLOW_RATIO ? 1 : 0)) & RECENT_ANSWERS_MASK;
    recentRatio += MEAN_WEIGHT * (ratio - recentRatio);
    boolean slow =
        Integer.bitCount(recentSlow) >= SLOW_ANSWERS_TO_FALL_BACK
            || recentRatio > MEAN_TO_FALL_BACK;
    if (slownessArmed && slow) {
      fallBack(nowMillis);
    } else if (outcome == RunOutcome.ANSWERED) {
      answers++;
      raise(nowMillis);
    }
  }

  private void raise(long nowMillis) {
    boolean enough = answers >= Math.max(MIN_ANSWERS_PER_STEP, limit);
    long minStepMillis =
        recentRatio < MEAN_TO_SLOW_STEPS ? stepMillis : SLOW_STEP_FACTOR * stepMillis;
    boolean due = nowMillis - lastStepMillis >= minStepMillis;
    if (limit < slots && fullyUsed && enough && due) {
      slownessArmed |= recentRatio < MEAN_TO_REARM;
      setLimit(limit + 1, nowMillis);
    }
  }

  private void setLimit(int value, long nowMillis) {
    limit = value;
    answers = 0;
    fullyUsed = false;
    lastStepMillis = nowMillis;
  }
}
