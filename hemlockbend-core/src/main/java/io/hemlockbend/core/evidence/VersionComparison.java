package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.RouteName;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Compares a version with its predecessor on strata of the same route, failure domain and second.
 * Only calls of the same stratum are compared, so that a failing domain, an overload or a slow
 * platform, which affect the predecessor as well, do not count against a version.
 *
 * <p>Routes are judged both individually and together, so that a fault on one route and a small
 * fault on many are both detected.
 */
public final class VersionComparison {
  /**
   * Minimum score of a bad version: {@code ln c} with {@code c} of a million, so that one detector
   * marks an equally good version as bad in at most one of 250,000 moves.
   */
  public static final double BAD_SCORE = 13.8;

  /** Minimum score of a suspicious version; successful calls reduce it fast. */
  public static final double SUSPICIOUS_SCORE = 3;

  /** Minimum number of calls of a good version. */
  public static final long GOOD_CALLS = 50;

  /** Half-life of the evidence. */
  public static final long HALF_LIFE_MILLIS = 600_000;

  private static final long GOOD_ROUTE_CALLS = 10;
  private static final double MIN_ROUTE_SHARE = 0.05;

  private final StratumJoiner joiner = new StratumJoiner();
  private final Map<RouteName, RouteDetectors> routes = new TreeMap<>();
  private final RouteDetectors all = new RouteDetectors();
  private final Map<RouteName, Tally> tallies = new TreeMap<>();
  private Tally total = new Tally(0, 0);
  private int sharePermille;
  private long comparedUntilMillis = Long.MIN_VALUE;
  private long lastVerdictMillis;

  /**
   * Adds a stratum.
   *
   * @param stratum calls of both versions, later than all strata added before
   */
  public void add(Stratum stratum) {
    Tally tally = new Tally(stratum.old().calls(), stratum.fresh().calls());
    tallies.merge(stratum.route(), tally, Tally::plus);
    total = total.plus(tally);
    joiner.add(stratum).forEach(this::addToDetectors);
  }

  /**
   * Returns the verdict on the strata added so far.
   *
   * @param permille the version's current share; an increase restarts the call counts that a good
   *     verdict needs
   * @param endMillis the end of the last bucket added, milliseconds since the epoch
   * @param nowMillis the time in milliseconds since the epoch
   */
  public Verdict verdict(int permille, long endMillis, long nowMillis) {
    if (permille > sharePermille) {
      sharePermille = permille;
      tallies.clear();
      total = new Tally(0, 0);
    }
    joiner.overdue(endMillis).forEach(this::addToDetectors);
    decay(endMillis);
    lastVerdictMillis = nowMillis;
    return conclude();
  }

  /**
   * Returns the end of the compared time, milliseconds since the epoch; {@code Long.MIN_VALUE}
   * before the first verdict.
   */
  long comparedUntilMillis() {
    return comparedUntilMillis;
  }

  /** Returns the time of the last call of {@link #verdict}, milliseconds since the epoch. */
  long lastVerdictMillis() {
    return lastVerdictMillis;
  }

  private void addToDetectors(Stratum stratum) {
    routes.computeIfAbsent(stratum.route(), name -> new RouteDetectors()).add(stratum);
    all.add(stratum);
  }

  private void decay(long endMillis) {
    if (comparedUntilMillis != Long.MIN_VALUE) {
      double kept = Math.pow(0.5, (double) (endMillis - comparedUntilMillis) / HALF_LIFE_MILLIS);
      routes.values().forEach(route -> route.decay(kept));
      all.decay(kept);
    }
    comparedUntilMillis = endMillis;
  }

  private Verdict conclude() {
    double worst = 0;
    String finding = "";
    for (Map.Entry<RouteName, RouteDetectors> entry : routes.entrySet()) {
      if (entry.getValue().score() > worst) {
        worst = entry.getValue().score();
        finding = "route " + entry.getKey() + ": " + entry.getValue().strongestFinding();
      }
    }
    if (worst < BAD_SCORE && all.score() > worst) {
      worst = all.score();
      finding = "all routes: " + all.strongestFinding();
    }
    if (worst >= BAD_SCORE) {
      return new Verdict.Bad(finding);
    }
    if (all.suspicious() || routes.values().stream().anyMatch(RouteDetectors::suspicious)) {
      return new Verdict.NotEnough(true, finding);
    }
    return missingEvidence()
        .<Verdict>map(reason -> new Verdict.NotEnough(false, reason))
        .orElseGet(
            () -> new Verdict.Good(total.fresh + " calls, no sufficient evidence against it"));
  }

  private Optional<String> missingEvidence() {
    if (total.fresh < GOOD_CALLS) {
      return Optional.of("only " + total.fresh + " of " + GOOD_CALLS + " calls");
    }
    for (Map.Entry<RouteName, Tally> entry : tallies.entrySet()) {
      Tally tally = entry.getValue();
      if (tally.old >= MIN_ROUTE_SHARE * total.old && tally.fresh < GOOD_ROUTE_CALLS) {
        return Optional.of(
            "only "
                + tally.fresh
                + " of "
                + GOOD_ROUTE_CALLS
                + " calls on route "
                + entry.getKey());
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
