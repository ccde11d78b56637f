package io.hemlockbend.core.admission;

/**
 * How many requests the upstream may run at once now: from what a cold one bears up to its slots.
 *
 * <p>The limit rises by one when it was in full use, enough answers came at the usual speed and the
 * step time is over. It halves at an answer that tells of overload and at a broken connection. It
 * falls back to the cold slots at a new start, and when most of the latest answers were far slower
 * than usual: within its slots an upstream is not slowed by load, so that it must have fallen back
 * into a cold start. An upstream that stays slow is taken as such once its baseline has followed,
 * and the limit rises again.
 */
final class ConcurrencyLimit {
  private static final int RECENT_MASK = 0xFF;
  private static final int SLOW_TO_FALL_BACK = 6;
  private static final int SLOW_TO_HOLD = 3;
  private static final int LEAST_ANSWERS_PER_STEP = 4;

  private final int slots;
  private final int coldSlots;
  private final long stepMillis;
  private int limit;
  private int recentSlow;
  private int answers;
  private boolean fullyUsed;
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

  /** Starts over from what a cold upstream bears. */
  void fallBack(long nowMillis) {
    limitTo(coldSlots, nowMillis);
    recentSlow = 0;
  }

  /** Takes in how a request ended. */
  void ended(RunOutcome outcome, boolean slow, long nowMillis) {
    if (outcome == RunOutcome.OVERLOADED || outcome == RunOutcome.BROKEN) {
      limitTo(Math.max(coldSlots, limit / 2), nowMillis);
    } else if (outcome.timed()) {
      timed(outcome, slow, nowMillis);
    }
  }

  private void timed(RunOutcome outcome, boolean slow, long nowMillis) {
    recentSlow = (recentSlow << 1 | (slow ? 1 : 0)) & RECENT_MASK;
    if (Integer.bitCount(recentSlow) >= SLOW_TO_FALL_BACK) {
      fallBack(nowMillis);
      return;
    }
    if (outcome == RunOutcome.ANSWERED && !slow) {
      answers++;
      raise(nowMillis);
    }
  }

  private void raise(long nowMillis) {
    boolean enough = answers >= Math.max(LEAST_ANSWERS_PER_STEP, limit);
    boolean due = nowMillis - steppedMillis >= stepMillis;
    boolean steady = Integer.bitCount(recentSlow) < SLOW_TO_HOLD;
    if (limit < slots && fullyUsed && enough && due && steady) {
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
