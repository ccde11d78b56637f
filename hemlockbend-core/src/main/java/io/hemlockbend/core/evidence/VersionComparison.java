package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.RouteName;
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
  /**
   * The score from which on a version is bad; {@code ln c} for a {@code c} of a million, so that
   * one test condemns one like version in 250,000 moves at most.
   */
  public static final double BAD_SCORE = 13.8;

  /** The score from which on a version is suspicious; calls that end well clear it fast. */
  public static final double SUSPICIOUS_SCORE = 3;

  /** How many calls a version needs to count as good. */
  public static final long GOOD_CALLS = 50;

  /** How long it takes until half of the evidence is forgotten. */
  public static final long HALF_LIFE_MILLIS = 600_000;

  private static final long GOOD_ROUTE_CALLS = 10;
  private static final double ROUTE_SHARE = 0.05;

  private final StratumJoiner joiner = new StratumJoiner();
  private final Map<RouteName, RouteTests> routes = new TreeMap<>();
  private final RouteTests all = new RouteTests();
  private final Map<RouteName, Tally> tallies = new TreeMap<>();
  private Tally total = new Tally(0, 0);
  private int sharePermille;
  private long comparedMillis = Long.MIN_VALUE;
  private long askedMillis;

  /**
   * Adds a stratum.
   *
   * @param stratum calls of both versions; later than those added before
   */
  public void add(Stratum stratum) {
    Tally tally = new Tally(stratum.old().calls(), stratum.fresh().calls());
    tallies.merge(stratum.route(), tally, Tally::plus);
    total = total.plus(tally);
    joiner.add(stratum).forEach(this::test);
  }

  /**
   * Returns the verdict on what was added.
   *
   * @param permille the version's present share; when it grew, calls count anew towards good
   * @param endMillis up to when strata were added
   * @param nowMillis the time in milliseconds since the epoch
   */
  public Verdict verdict(int permille, long endMillis, long nowMillis) {
    if (permille > sharePermille) {
      sharePermille = permille;
      tallies.clear();
      total = new Tally(0, 0);
    }
    joiner.overdue(endMillis).forEach(this::test);
    fade(endMillis);
    askedMillis = nowMillis;
    return conclude();
  }

  /** Returns up to when strata were added, milliseconds since the epoch. */
  long comparedMillis() {
    return comparedMillis;
  }

  /** Returns when the last verdict was asked for, milliseconds since the epoch. */
  long askedMillis() {
    return askedMillis;
  }

  private void test(Stratum stratum) {
    routes.computeIfAbsent(stratum.route(), name -> new RouteTests()).add(stratum);
    all.add(stratum);
  }

  private void fade(long endMillis) {
    if (comparedMillis != Long.MIN_VALUE) {
      double kept = Math.pow(0.5, (double) (endMillis - comparedMillis) / HALF_LIFE_MILLIS);
      routes.values().forEach(route -> route.fade(kept));
      all.fade(kept);
    }
    comparedMillis = endMillis;
  }

  private Verdict conclude() {
    double worst = 0;
    String where = "";
    for (Map.Entry<RouteName, RouteTests> entry : routes.entrySet()) {
      if (entry.getValue().score() > worst) {
        worst = entry.getValue().score();
        where = "route " + entry.getKey() + ": " + entry.getValue().worst();
      }
    }
    if (worst < BAD_SCORE && all.score() > worst) {
      worst = all.score();
      where = "all routes: " + all.worst();
    }
    if (worst >= BAD_SCORE) {
      return new Verdict.Bad(where);
    }
    if (all.suspicious() || routes.values().stream().anyMatch(RouteTests::suspicious)) {
      return new Verdict.NotEnough(true, where);
    }
    return missing()
        .<Verdict>map(reason -> new Verdict.NotEnough(false, reason))
        .orElseGet(() -> new Verdict.Good(total.fresh + " calls, none against it"));
  }

  private Optional<String> missing() {
    if (total.fresh < GOOD_CALLS) {
      return Optional.of("only " + total.fresh + " calls to judge");
    }
    for (Map.Entry<RouteName, Tally> entry : tallies.entrySet()) {
      Tally tally = entry.getValue();
      if (tally.old >= ROUTE_SHARE * total.old && tally.fresh < GOOD_ROUTE_CALLS) {
        return Optional.of("only " + tally.fresh + " calls on route " + entry.getKey());
      }
    }
    return Optional.empty();
  }

  private record Tally(long old, long fresh) {
    Tally plus(Tally other) {
      return new Tally(old + other.old, fresh + other.fresh);
    }
  }
}
