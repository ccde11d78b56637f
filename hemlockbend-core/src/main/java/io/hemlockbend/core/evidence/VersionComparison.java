package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Judges a version against its predecessor from strata of the same route, failure domain and
 * second. Only calls of one stratum are compared, so that a sick failure domain, an overload or a
 * slow platform, which the predecessor suffers as well, speaks against no version.
 *
 * <p>Each route is judged by itself, and all routes together, so that a fault on one route and a
 * small fault on many are both seen.
 */
public final class VersionComparison {
  /** The logarithm of the evidence from which on a version is bad. */
  public static final double BAD_LOG = 23;

  /** The logarithm of the evidence from which on no further step opens. */
  public static final double SUSPICIOUS_LOG = 4.6;

  /** How many calls a version needs to count as good. */
  public static final long GOOD_CALLS = 50;

  private static final long GOOD_ROUTE_CALLS = 10;
  private static final double ROUTE_SHARE = 0.05;
  private static final double CAP_LOG = 8;
  private static final double FAILING_CAP_LOG = 12;
  private static final double FAILING_SHARE = 0.9;
  private static final double HEALTHY_SHARE = 0.1;
  private static final long FAILING_CALLS = 8;

  private VersionComparison() {}

  /**
   * Judges a version.
   *
   * @param strata the calls of both versions in the order of time
   * @param sinceMillis since when the version has had its present share; only later calls count
   *     towards good, all count towards bad
   */
  public static Verdict judge(List<Stratum> strata, long sinceMillis) {
    Map<RouteName, RouteTests> routes = new TreeMap<>();
    RouteTests all = new RouteTests();
    for (Stratum stratum : strata) {
      RouteTests route = routes.computeIfAbsent(stratum.route(), name -> new RouteTests());
      route.add(stratum, sinceMillis);
      route.addTimes(stratum);
      all.add(stratum, sinceMillis);
    }
    double worst = 0;
    String where = "";
    for (Map.Entry<RouteName, RouteTests> entry : routes.entrySet()) {
      if (entry.getValue().logEvidence() > worst) {
        worst = entry.getValue().logEvidence();
        where = "route " + entry.getKey() + ": " + entry.getValue().worst();
      }
    }
    if (worst < BAD_LOG && all.logEvidence() > worst) {
      worst = all.logEvidence();
      where = "all routes: " + all.worst();
    }
    if (worst >= BAD_LOG) {
      return new Verdict.Bad(where);
    }
    if (worst >= SUSPICIOUS_LOG) {
      return new Verdict.NotEnough(true, where);
    }
    return missing(routes, all)
        .<Verdict>map(reason -> new Verdict.NotEnough(false, reason))
        .orElseGet(() -> new Verdict.Good(all.fresh.calls() + " calls, none against it"));
  }

  private static Optional<String> missing(Map<RouteName, RouteTests> routes, RouteTests all) {
    if (all.fresh.calls() < GOOD_CALLS || all.old.calls() < GOOD_CALLS) {
      return Optional.of("only " + all.fresh.calls() + " calls to compare");
    }
    for (Map.Entry<RouteName, RouteTests> entry : routes.entrySet()) {
      RouteTests tests = entry.getValue();
      boolean counts = tests.old.calls() >= ROUTE_SHARE * all.old.calls();
      if (counts && tests.fresh.calls() < GOOD_ROUTE_CALLS) {
        return Optional.of("only " + tests.fresh.calls() + " calls on route " + entry.getKey());
      }
    }
    return Optional.empty();
  }

  /** The tests of one route, or of all together; times are compared only within a route. */
  private static final class RouteTests {
    private final ExcessTest failing = new ExcessTest();
    private final ExcessTest slow = new ExcessTest();
    private final SlowdownTest slowdown = new SlowdownTest();
    private final Map<FailureDomain, Counts> oldOpen = new HashMap<>();
    private final Map<FailureDomain, Counts> freshOpen = new HashMap<>();
    private Counts old = Counts.NONE;
    private Counts fresh = Counts.NONE;

    void add(Stratum stratum, long sinceMillis) {
      Counts before = stratum.old();
      Counts after = stratum.fresh();
      double cap = almostAllFail(before, after) ? FAILING_CAP_LOG : CAP_LOG;
      failing.add(before.calls(), before.failures(), after.calls(), after.failures(), cap);
      slow.add(before.calls(), before.slowCalls(), after.calls(), after.slowCalls(), CAP_LOG);
      if (stratum.atMillis() >= sinceMillis) {
        old = old.plus(before);
        fresh = fresh.plus(after);
      }
    }

    void addTimes(Stratum stratum) {
      Counts before = oldOpen.merge(stratum.domain(), stratum.old(), Counts::plus);
      Counts after = freshOpen.merge(stratum.domain(), stratum.fresh(), Counts::plus);
      long fewest = Math.min(before.calls(), after.calls());
      if (fewest >= SlowdownTest.MIN_CALLS) {
        slowdown.add(before, after);
        oldOpen.remove(stratum.domain());
        freshOpen.remove(stratum.domain());
      }
    }

    private static boolean almostAllFail(Counts old, Counts fresh) {
      return old.calls() >= FAILING_CALLS
          && fresh.calls() >= FAILING_CALLS
          && old.failureShare() <= HEALTHY_SHARE
          && fresh.failureShare() >= FAILING_SHARE;
    }

    double logEvidence() {
      return Math.max(failing.logEvidence(), Math.max(slow.logEvidence(), slowdown.logEvidence()));
    }

    String worst() {
      double most = logEvidence();
      if (failing.logEvidence() == most) {
        return "fails more often than its predecessor";
      }
      return slow.logEvidence() == most
          ? "has more slow calls than its predecessor"
          : "takes longer than its predecessor";
    }
  }
}
