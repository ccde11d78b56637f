package io.hemlockbend.core.evidence;

import java.util.HashMap;
import java.util.Map;

/**
 * Accumulates evidence that the fresh version takes longer than its predecessor in the same failure
 * domain at the same time.
 *
 * <p>Each fresh call's time is divided by the predecessor's mean in the same domain and period,
 * which cancels slowness common to both versions, and the quotients are pooled. For service times
 * whose residual mean never exceeds their mean ("new better than used in expectation"), {@code E
 * exp(u x / mean) <= 1 / (1 - u)} (Barlow and Proschan, "Statistical Theory of Reliability and Life
 * Testing", 1975), so that
 *
 * <pre>exp(u sum / r) (1 - u)^n</pre>
 *
 * <p>has a mean of at most one for {@code n} quotients with this {@code sum}, as long as the fresh
 * version's mean is at most {@code r} times its predecessor's. The margin in {@code r}, a weight of
 * {@code old / (old + fresh)} calls and a cap on the gain of one batch allow for heavier tails and
 * for noise in the predecessor's mean. Batches are summed and scored as in {@link ExcessDetector}.
 */
final class SlowdownDetector {
  private static final long MIN_OLD_CALLS = 10;
  private static final long MIN_BATCH_CALLS = 10;
  private static final double TOLERATED_RATIO = 1.25;
  private static final double MEAN_OFFSET_MILLIS = 2;
  private static final double[] TILTS = {0.3, 0.6};
  private static final double MAX_LOG_GAIN = 6;

  private final Map<RouteAndDomain, Counts> oldPending = new HashMap<>();
  private final Map<RouteAndDomain, Counts> freshPending = new HashMap<>();
  private final double[] batchGains = new double[TILTS.length];
  private final double[] sums = new double[TILTS.length];
  private long batchCalls;
  private long batches;

  /** Adds a stratum; it is buffered until the predecessor has enough calls for a mean. */
  void add(Stratum stratum) {
    RouteAndDomain key = new RouteAndDomain(stratum.route(), stratum.domain());
    Counts old = oldPending.merge(key, stratum.old(), Counts::plus);
    Counts fresh = freshPending.merge(key, stratum.fresh(), Counts::plus);
    if (old.calls() < MIN_OLD_CALLS) {
      return;
    }
    oldPending.remove(key);
    freshPending.remove(key);
    addQuotients(old, fresh);
    if (batchCalls >= MIN_BATCH_CALLS) {
      closeBatch();
    }
  }

  private void addQuotients(Counts old, Counts fresh) {
    double weight = (double) old.calls() / (old.calls() + fresh.calls());
    double quotients = fresh.totalMillis() / (old.meanMillis() + MEAN_OFFSET_MILLIS);
    for (int i = 0; i < sums.length; i++) {
      double tilted = TILTS[i] * quotients / TOLERATED_RATIO;
      batchGains[i] += weight * (tilted + fresh.calls() * Math.log(1 - TILTS[i]));
    }
    batchCalls += fresh.calls();
  }

  private void closeBatch() {
    batches++;
    for (int i = 0; i < sums.length; i++) {
      sums[i] = Math.max(0, sums[i] + Math.min(batchGains[i], MAX_LOG_GAIN));
      batchGains[i] = 0;
    }
    batchCalls = 0;
  }

  /** Multiplies the evidence by a factor between 0 and 1. */
  void decay(double kept) {
    for (int i = 0; i < sums.length; i++) {
      sums[i] *= kept;
    }
  }

  /** Returns the logarithm of the evidence, less the correction for the number of batches. */
  double score() {
    return Math.max(sums[0], sums[1]) - 2 * Math.log(Math.max(1, batches));
  }
}
