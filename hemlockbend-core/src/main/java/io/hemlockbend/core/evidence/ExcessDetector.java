package io.hemlockbend.core.evidence;

/**
 * Accumulates evidence that events (failures, slow calls) hit the fresh version more often than
 * chance explains.
 *
 * <p>Given that {@code f} of the {@code n} calls of a stratum had the event, the number {@code x}
 * among the fresh version's {@code m} calls is hypergeometric when both versions are equally good,
 * whatever the rate is at that time and in that failure domain. The detector multiplies, stratum by
 * stratum, the likelihood ratio of the binomial with the fresh version's odds raised by a factor
 * {@code t} against the binomial with {@code p = m / n}:
 *
 * <pre>(q / p)^x ((1 - q) / (1 - p))^(f - x), q = t p / (t p + 1 - p)</pre>
 *
 * <p>The hypergeometric is smaller than that binomial in convex order (Hoeffding, "Probability
 * inequalities for sums of bounded random variables", 1963, theorem 4), so the expected ratio is at
 * most one for equally good versions. Capping a ratio only lowers it. The product is the safe
 * logrank test of ter Schure, Perez-Ortiz, Ly and Grunwald (2020).
 *
 * <p>A version may turn bad late, so the sum is reset to zero whenever it falls below (CUSUM; Page,
 * 1954). It never exceeds the Shiryaev-Roberts sum, whose mean after {@code k} strata with events
 * is at most {@code k} for equally good versions (Shin, Ramdas and Rinaldo, "E-detectors", 2023).
 * Doob's inequality over the blocks {@code 2^j < k <= 2^(j+1)} bounds the probability that the sum
 * ever reaches {@code ln c + 2 ln k} by {@code 4 / c} for each factor, however often and for
 * however long it is evaluated; {@link #score} subtracts {@code 2 ln k}. Decay of the sum, by calls
 * without the event and by time, only lowers it and lets past incidents expire.
 */
final class ExcessDetector {
  private static final double[] ODDS_FACTORS = {3, 10, 50, 500};
  private static final double KEPT_PER_CALL = 0.999;
  private static final double RECENT_PER_CALL = 0.98;

  private final double[] sums = new double[ODDS_FACTORS.length];
  private final double[] recent = new double[ODDS_FACTORS.length];
  private long strata;

  /**
   * Adds a stratum.
   *
   * @param oldCalls the predecessor's calls
   * @param oldEvents those with the event
   * @param freshCalls the fresh version's calls
   * @param freshEvents those with the event
   * @param cap the maximum that the stratum may add to the logarithm
   */
  void add(long oldCalls, long oldEvents, long freshCalls, long freshEvents, double cap) {
    scale(sums, Math.pow(KEPT_PER_CALL, freshCalls - freshEvents));
    scale(recent, Math.pow(RECENT_PER_CALL, freshCalls - freshEvents));
    long events = oldEvents + freshEvents;
    if (events == 0 || oldCalls == 0 || freshCalls == 0) {
      return;
    }
    strata++;
    double share = (double) freshCalls / (oldCalls + freshCalls);
    for (int i = 0; i < sums.length; i++) {
      double raised = ODDS_FACTORS[i] * share / (ODDS_FACTORS[i] * share + 1 - share);
      double gain =
          freshEvents * Math.log(raised / share) + oldEvents * Math.log((1 - raised) / (1 - share));
      sums[i] = Math.max(0, sums[i] + Math.min(gain, cap));
      recent[i] = Math.max(0, recent[i] + Math.min(gain, cap));
    }
  }

  /** Multiplies the evidence by a factor between 0 and 1. */
  void decay(double kept) {
    scale(sums, kept);
    scale(recent, kept);
  }

  /** Returns the logarithm of the evidence, less the correction for the number of strata. */
  double score() {
    return scoreOf(sums);
  }

  /** Returns the score of a faster decaying sum, which some dozen calls without the event clear. */
  double recentScore() {
    return scoreOf(recent);
  }

  private double scoreOf(double[] logs) {
    double highest = 0;
    for (double log : logs) {
      highest = Math.max(highest, log);
    }
    return highest - 2 * Math.log(Math.max(1, strata));
  }

  private static void scale(double[] logs, double kept) {
    for (int i = 0; i < logs.length; i++) {
      logs[i] *= kept;
    }
  }
}
