package io.hemlockbend.core.evidence;

/** The change detectors of one route, or of all routes together. */
final class RouteDetectors {
  private static final double MAX_LOG_GAIN = 6;
  private static final double MAX_LOG_GAIN_WHEN_FAILING = 9;
  private static final double FAILING_SHARE = 0.9;
  private static final double HEALTHY_SHARE = 0.1;
  private static final long FAILING_CALLS = 8;

  private final ExcessDetector failures = new ExcessDetector();
  private final ExcessDetector slowCalls = new ExcessDetector();
  private final SlowdownDetector slowdown = new SlowdownDetector();

  /**
   * Adds the failures and slow calls of a stratum. The cap keeps a single incident, such as the
   * crash of one upstream, from marking a version as bad: at least two strata have to count against
   * it.
   */
  void add(Stratum stratum) {
    Counts old = stratum.old();
    Counts fresh = stratum.fresh();
    double cap = almostAllFail(old, fresh) ? MAX_LOG_GAIN_WHEN_FAILING : MAX_LOG_GAIN;
    failures.add(old.calls(), old.failures(), fresh.calls(), fresh.failures(), cap);
    slowCalls.add(old.calls(), old.slowCalls(), fresh.calls(), fresh.slowCalls(), MAX_LOG_GAIN);
    slowdown.add(stratum);
  }

  void decay(double kept) {
    failures.decay(kept);
    slowCalls.decay(kept);
    slowdown.decay(kept);
  }

  double score() {
    return Math.max(failures.score(), Math.max(slowCalls.score(), slowdown.score()));
  }

  boolean suspicious() {
    double highest = Math.max(failures.recentScore(), slowCalls.recentScore());
    return Math.max(highest, slowdown.score()) >= VersionComparison.SUSPICIOUS_SCORE;
  }

  String strongestFinding() {
    double highest = score();
    if (failures.score() == highest) {
      return "fails more often than its predecessor";
    }
    return slowCalls.score() == highest
        ? "has more slow calls than its predecessor"
        : "takes longer than its predecessor";
  }

  private static boolean almostAllFail(Counts old, Counts fresh) {
    return old.calls() >= FAILING_CALLS
        && fresh.calls() >= FAILING_CALLS
        && old.failureShare() <= HEALTHY_SHARE
        && fresh.failureShare() >= FAILING_SHARE;
  }
}
