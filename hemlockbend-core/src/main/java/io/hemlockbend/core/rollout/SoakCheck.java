package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.evidence.Counts;
import io.hemlockbend.core.evidence.Stratum;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Judges a version whose predecessor has no traffic left to compare with. The yardstick is what
 * both versions did in the last minutes of the move, so the rule is coarse: a route is bad when,
 * over the last {@link #LOOK_MILLIS}, it is bad in at least two failure domains and in most of
 * those that have calls, while no domain gets more calls than it did at the yardstick's time. A
 * sick domain or an overload does not fulfil it.
 */
final class SoakCheck {
  /** The time that is looked at. */
  static final long LOOK_MILLIS = 5_000;

  private static final long MIN_CALLS = 20;
  private static final int MIN_DOMAINS = 2;
  private static final double FAILING_SHARE = 0.3;
  private static final double FAILING_RATIO = 10;
  private static final double SLOW_RATIO = 4;
  private static final double SLOW_FLOOR_MILLIS = 5;
  private static final double OVERLOAD_RATIO = 1.3;

  private SoakCheck() {}

  /**
   * Returns what speaks against the version.
   *
   * @param soak the finished move
   * @param strata the calls of the last {@link #LOOK_MILLIS}
   */
  static Optional<String> judge(Soak soak, List<Stratum> strata) {
    Map<RouteName, Map<FailureDomain, Counts>> before = sums(soak.baseline());
    Map<RouteName, Map<FailureDomain, Counts>> after = sums(strata);
    double beforeSeconds = seconds(soak.baseline());
    for (Map.Entry<RouteName, Map<FailureDomain, Counts>> route : after.entrySet()) {
      Map<FailureDomain, Counts> yardsticks = before.getOrDefault(route.getKey(), Map.of());
      if (bad(route.getValue(), yardsticks, beforeSeconds)) {
        return Optional.of("route " + route.getKey() + ": bad in most domains after the move");
      }
    }
    return Optional.empty();
  }

  private static boolean bad(
      Map<FailureDomain, Counts> now, Map<FailureDomain, Counts> yardsticks, double seconds) {
    int judged = 0;
    int bad = 0;
    for (Map.Entry<FailureDomain, Counts> entry : now.entrySet()) {
      Counts counts = entry.getValue();
      Counts yardstick = yardsticks.getOrDefault(entry.getKey(), Counts.NONE);
      if (counts.calls() < MIN_CALLS || yardstick.calls() < MIN_CALLS) {
        continue;
      }
      double rate = counts.calls() * 1000.0 / LOOK_MILLIS;
      if (rate > OVERLOAD_RATIO * yardstick.calls() / seconds) {
        return false;
      }
      judged++;
      bad += bad(counts, yardstick) ? 1 : 0;
    }
    return bad >= MIN_DOMAINS && 2 * bad > judged;
  }

  private static boolean bad(Counts now, Counts yardstick) {
    boolean failing =
        now.failureShare() >= FAILING_SHARE
            && now.failureShare() >= FAILING_RATIO * yardstick.failureShare();
    boolean slow = now.meanMillis() > SLOW_RATIO * yardstick.meanMillis() + SLOW_FLOOR_MILLIS;
    return failing || slow;
  }

  private static Map<RouteName, Map<FailureDomain, Counts>> sums(Collection<Stratum> strata) {
    Map<RouteName, Map<FailureDomain, Counts>> sums = new TreeMap<>();
    for (Stratum stratum : strata) {
      sums.computeIfAbsent(stratum.route(), name -> new HashMap<>())
          .merge(stratum.domain(), stratum.old().plus(stratum.fresh()), Counts::plus);
    }
    return sums;
  }

  private static double seconds(List<Stratum> strata) {
    Set<Long> buckets = strata.stream().map(Stratum::atMillis).collect(Collectors.toSet());
    return Math.max(1, buckets.size());
  }
}
