package io.hemlockbend.core.evidence;

/** The tests of one route, or of all routes together. */
final class RouteTests {
  private static final double CAP_LOG = 6;
  private static final double FAILING_CAP_LOG = 9;
  private static final double FAILING_SHARE = 0.9;
  private static final double HEALTHY_SHARE = 0.1;
  private static final long FAILING_CALLS = 8;

  private final ExcessTest failing = new ExcessTest();
  private final ExcessTest slow = new ExcessTest();
  private final SlowdownTest slowdown = new SlowdownTest();

  /**
   * Adds the failures and slow calls of a stratum. The cap keeps one accident, such as the crash of
   * one upstream, from condemning a version: at least two strata have to speak against it.
   */
  void add(Stratum stratum) {
    Counts old = stratum.old();
    Counts fresh = stratum.fresh();
    double cap = almostAllFail(old, fresh) ? FAILING_CAP_LOG : CAP_LOG;
    failing.add(old.calls(), old.failures(), fresh.calls(), fresh.failures(), cap);
    slow.add(old.calls(), old.slowCalls(), fresh.calls(), fresh.slowCalls(), CAP_LOG);
    slowdown.add(stratum);
  }

  void fade(double kept) {
    failing.fade(kept);
    slow.fade(kept);
    slowdown.fade(kept);
  }

  double score() {
    return Math.max(failing.score(), Math.max(slow.score(), slowdown.score()));
  }

  boolean suspicious() {
    double most = Math.max(failing.recentScore(), slow.recentScore());
    return Math.max(most, slowdown.score()) >= VersionComparison.SUSPICIOUS_SCORE;
  }

  String worst() {
    double most = score();
    if (failing.score() == most) {
      return "fails more often than its predecessor";
    }
    return slow.score() == most
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
