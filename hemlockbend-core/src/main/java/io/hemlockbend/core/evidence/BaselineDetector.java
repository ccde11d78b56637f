package io.hemlockbend.core.evidence;

/**
 * Accumulates evidence that a version answers with more errors than its predecessor lately did, or
 * takes much longer.
 *
 * <p>Unlike {@link ExcessDetector} it also counts calls at a time when the predecessor has none, as
 * at the full share, and its evidence per error does not shrink with the predecessor's share. The
 * price is that errors which begin for both versions at that time count against the fresh one. So
 * only errors that upstreams answer count, not lost connections, and one stratum adds a bounded
 * amount. The sum is that of a CUSUM (Page, 1954) over Poisson log-likelihood ratios.
 */
final class BaselineDetector {
  private static final double[] ODDS_FACTORS = {4, 16};
  private static final double MAX_LOG_GAIN = 6;

  /** Smallest assumed share of errors; a predecessor's few calls may have none. */
  private static final double MIN_ERROR_SHARE = 0.005;

  /** Calls with one error that are assumed of a predecessor before any is counted. */
  private static final double PRIOR_CALLS = 50;

  /** Weight of the predecessor's previous counts at each of its calls: some 400 calls count. */
  private static final double KEPT_PER_CALL = 0.9975;

  /** Slowness against past calls that load alone may explain. */
  private static final double TOLERATED_SLOWDOWN = 2;

  /** Weight of previous evidence for a suspicion at each call without an error. */
  private static final double RECENT_PER_CALL = 0.97;

  private final double[] sums = new double[ODDS_FACTORS.length];
  private final double[] recent = new double[ODDS_FACTORS.length];
  private final SlowdownDetector slowdown = new SlowdownDetector();
  private double oldCalls;
  private double oldErrors;
  private double oldMillis;
  private long strata;

  /**
   * Adds a stratum.
   *
   * @param stratum the calls of both versions
   * @param addedOldErrors how many calls the predecessor answered with an error
   * @param freshErrors how many calls the fresh version answered with an error
   */
  void add(Stratum stratum, long addedOldErrors, long freshErrors) {
    Counts old = stratum.old();
    Counts fresh = stratum.fresh();
    double kept = Math.pow(KEPT_PER_CALL, old.calls());
    oldCalls = kept * oldCalls + old.calls();
    oldErrors = kept * oldErrors + addedOldErrors;
    oldMillis = kept * oldMillis + old.totalMillis();
    if (fresh.calls() == 0) {
      return;
    }
    strata += freshErrors > 0 ? 1 : 0;
    double expected = fresh.calls() * errorShare();
    double keptRecent = Math.pow(RECENT_PER_CALL, fresh.calls() - freshErrors);
    for (int i = 0; i < sums.length; i++) {
      double gain = freshErrors * Math.log(ODDS_FACTORS[i]) - expected * (ODDS_FACTORS[i] - 1);
      double capped = Math.min(gain, MAX_LOG_GAIN);
      sums[i] = Math.max(0, sums[i] + capped);
      recent[i] = Math.max(0, keptRecent * recent[i] + capped);
    }
    if (old.calls() == 0 && oldCalls >= 1) {
      Counts past = new Counts(Math.round(oldCalls), 0, 0, oldMillis);
      Counts tolerated = new Counts(fresh.calls(), 0, 0, fresh.totalMillis() / TOLERATED_SLOWDOWN);
      slowdown.add(
          new Stratum(stratum.atMillis(), stratum.route(), stratum.domain(), past, tolerated));
    }
  }

  /** Returns the logarithm of the evidence, less the correction for the number of strata. */
  double score() {
    return scoreOf(sums);
  }

  /** Returns the score of a faster decaying sum, which some dozen calls without errors clear. */
  double recentScore() {
    return scoreOf(recent);
  }

  private double scoreOf(double[] logs) {
    double errors = Math.max(logs[0], logs[1]) - 2 * Math.log(Math.max(1, strata));
    return Math.max(errors, slowdown.score());
  }

  private double errorShare() {
    return Math.max(MIN_ERROR_SHARE, (oldErrors + 1) / (oldCalls + PRIOR_CALLS));
  }
}
