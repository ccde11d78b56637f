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
 * Judges a version whose predecessor no longer has traffic to compare with. The baseline is the
 * calls of both versions in the last minutes of the move, so the rule is coarse and considers
 * failures only: a route is bad when, over the last {@link #WINDOW_MILLIS}, it fails in at least
 * two failure domains and in most of those with enough calls, while no domain gets many more calls
 * than in the baseline. A single failing domain does not meet it. An overload shows in refusals and
 * slowness, which do not count here: without a predecessor beside it they cannot be distinguished
 * from a slow version.
 */
final class SoakCheck {
  /** Length of the window of recent calls. */
  static final long WINDOW_MILLIS = 4_000;

  private static final long MIN_CALLS = 40;
  private static final int MIN_DOMAINS = 2;
  private static final double FAILING_SHARE = 0.2;
  private static final double FAILING_RATIO = 10;
  private static final double OVERLOAD_RATIO = 1.3;

  private SoakCheck() {}

  /**
   * Returns the reason why the version is bad, or empty.
   *
   * @param soak the finished move
   * @param strata the calls of the last {@link #WINDOW_MILLIS}
   */
  static Optional<String> judge(Soak soak, List<Stratum> strata) {
    Map<RouteName, Map<FailureDomain, Counts>> before = sums(soak.baseline());
    Map<RouteName, Map<FailureDomain, Counts>> after = sums(strata);
    double beforeSeconds = seconds(soak.baseline());
    for (Map.Entry<RouteName, Map<FailureDomain, Counts>> route : after.entrySet()) {
      Map<FailureDomain, Counts> baselines = before.getOrDefault(route.getKey(), Map.of());
      if (failing(route.getValue(), baselines, beforeSeconds)) {
        return Optional.of("route " + route.getKey() + ": fails in most domains after the move");
      }
    }
    return Optional.empty();
  }

  private static boolean failing(
      Map<FailureDomain, Counts> now, Map<FailureDomain, Counts> baselines, double seconds) {
    int judged = 0;
    int failing = 0;
    for (Map.Entry<FailureDomain, Counts> entry : now.entrySet()) {
      Counts counts = entry.getValue();
      Counts baseline = baselines.getOrDefault(entry.getKey(), Counts.NONE);
      if (counts.calls() < MIN_CALLS || baseline.calls() < MIN_CALLS) {
        continue;
      }
      double rate = counts.calls() * 1000.0 / WINDOW_MILLIS;
      if (rate > OVERLOAD_RATIO * baseline.calls() / seconds) {
        return false;
      }
      judged++;
      failing += failing(counts, baseline) ? 1 : 0;
    }
    return failing >= MIN_DOMAINS && 2 * failing > judged;
  }

  private static boolean failing(Counts now, Counts baseline) {
    return now.failureShare() >= FAILING_SHARE
        && now.failureShare() >= FAILING_RATIO * baseline.failureShare();
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
