package io.hemlockbend.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.evidence.Counts;
import io.hemlockbend.core.evidence.MoveComparison;
import io.hemlockbend.core.evidence.Stratum;
import io.hemlockbend.core.evidence.Verdict;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays the load of a short move: the share of the target version's calls that fail grows with
 * the load of each of its upstreams. Failures that come with calls of the same time are rare while
 * the predecessor has enough calls, and at the full share it has none to compare with.
 */
class MoveUnderLoadTest {
  private static final long DURATION_MILLIS = 16_000;
  private static final long TICK_MILLIS = 250;

  /** Until the counts of an upstream are known where they are judged, and a decision in force. */
  private static final long REPORT_MILLIS = 500;

  /** The version's upstreams have started and announced themselves. */
  private static final long STARTED_MILLIS = 1_900;

  private static final double MAX_SHARE = 0.1;
  private static final double SLACK_CALLS = 50;
  private static final int SEEDS = 60;
  private static final RouteName ROUTE = new RouteName("r1");
  private static final FailureDomain DOMAIN = new FailureDomain("all");

  /** What a version does: share of failed calls without load, and at the load after the move. */
  private record Version(double failing, double failingLoaded) {
    double share(double load) {
      return Math.min(1, failing + failingLoaded * Math.pow(load, 2));
    }
  }

  private record Outcome(
      boolean takenBack, boolean completed, double calls, double exposed, String why) {}

  /** A bad version must not get more than a tenth of the calls and some, and not be completed. */
  @ParameterizedTest
  @CsvSource({
    "283, 4, 0.45",
    "283, 4, 0.25",
    "142, 4, 0.45",
    "92, 3, 0.45",
    "43, 3, 0.45",
    "370, 4, 0.5",
    "560, 20, 0.45",
    "120, 2, 0.45"
  })
  void versionThatFailsUnderLoadIsTakenBackInTime(
      double callsPerSecond, int upstreams, double failingLoaded) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Outcome outcome =
          move(
              new Version(0.004, failingLoaded),
              callsPerSecond,
              upstreams,
              new SplittableRandom(seed));
      String run = "seed " + seed + ": " + outcome;
      assertThat(outcome.takenBack()).as(run).isTrue();
      assertThat(outcome.exposed())
          .as(run)
          .isLessThanOrEqualTo(MAX_SHARE * outcome.calls() + SLACK_CALLS);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "283, 4, 0.004, 0",
    "283, 4, 0.02, 0",
    "92, 3, 0.004, 0",
    "5, 3, 0.004, 0",
    "560, 20, 0.01, 0",
    "370, 4, 0.004, 0.005",
    "2, 1, 0, 0"
  })
  void goodVersionIsCompletedInTime(
      double callsPerSecond, int upstreams, double failing, double failingLoaded) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Outcome outcome =
          move(
              new Version(failing, failingLoaded),
              callsPerSecond,
              upstreams,
              new SplittableRandom(seed));
      assertThat(outcome.completed()).as("seed " + seed + ": " + outcome).isTrue();
    }
  }

  private static Outcome move(
      Version target, double callsPerSecond, int upstreams, SplittableRandom random) {
    Version predecessor = new Version(target.failing(), 0);
    MoveRamp ramp = new MoveRamp();
    MoveComparison comparison = new MoveComparison();
    MoveRamp.Step inForce = new MoveRamp.Step.Share(0, false);
    MoveRamp.Step[] decided = new MoveRamp.Step[(int) (DURATION_MILLIS / TICK_MILLIS) + 8];
    Stratum[] strata = new Stratum[decided.length];
    long[][] errors = new long[decided.length][];
    double calls = 0;
    double exposed = 0;
    for (int tick = 0; tick * TICK_MILLIS < DURATION_MILLIS; tick++) {
      int reported = tick - (int) (REPORT_MILLIS / 2 / TICK_MILLIS);
      inForce = reported > 0 && decided[reported] != null ? decided[reported] : inForce;
      int permille = inForce instanceof MoveRamp.Step.Share share ? share.permille() : 0;
      boolean one = inForce instanceof MoveRamp.Step.Share share && share.oneUpstream();
      double share = tick * TICK_MILLIS < STARTED_MILLIS ? 0 : permille / 1000.0;
      long fresh = draw(random, callsPerSecond * share * TICK_MILLIS / 1000);
      long old = draw(random, callsPerSecond * (1 - share) * TICK_MILLIS / 1000);
      double load = one ? share * upstreams : share;
      long freshErrors = failures(random, fresh, target.share(load));
      long oldErrors = failures(random, old, predecessor.share(1 - share));
      strata[tick] =
          new Stratum(
              tick * TICK_MILLIS,
              ROUTE,
              DOMAIN,
              new Counts(old, oldErrors, 0, old * 60.0),
              new Counts(fresh, freshErrors, 0, fresh * 60.0));
      errors[tick] = new long[] {oldErrors, freshErrors};
      calls += old + fresh;
      exposed += fresh;
      if (reported >= 0) {
        comparison.add(strata[reported], errors[reported][0], errors[reported][1]);
      }
      Verdict verdict = comparison.verdict(permille, tick * TICK_MILLIS);
      decided[tick] = ramp.next(verdict, upstreams, tick * TICK_MILLIS, DURATION_MILLIS);
      if (decided[tick] instanceof MoveRamp.Step.TakeBack takeBack) {
        double rest = callsPerSecond * (DURATION_MILLIS - tick * TICK_MILLIS) / 1000;
        double late = callsPerSecond * share * REPORT_MILLIS / 2 / 1000;
        return new Outcome(true, false, calls + rest, exposed + late, takeBack.reason());
      }
      if (decided[tick] instanceof MoveRamp.Step.Complete) {
        double rest = callsPerSecond * (DURATION_MILLIS - tick * TICK_MILLIS) / 1000;
        return new Outcome(false, true, calls + rest, exposed + rest, verdict.reason());
      }
    }
    return new Outcome(false, false, calls, exposed, "unfinished");
  }

  private static long draw(SplittableRandom random, double mean) {
    long whole = (long) mean;
    return whole + (random.nextDouble() < mean - whole ? 1 : 0);
  }

  private static long failures(SplittableRandom random, long calls, double share) {
    long failed = 0;
    for (long call = 0; call < calls; call++) {
      failed += random.nextDouble() < share ? 1 : 0;
    }
    return failed;
  }
}
