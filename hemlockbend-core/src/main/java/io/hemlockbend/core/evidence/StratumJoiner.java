package io.hemlockbend.core.evidence;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Merges consecutive strata of the same route and domain until both versions have a few calls, or
 * {@link #MAX_MILLIS} have passed. A stratum with a single call of the fresh version carries little
 * evidence: beside the few calls of the predecessor in that second its share looks large.
 *
 * <p>The end of a stratum depends only on the number of calls and not on their results, so the
 * calls in it stay exchangeable between equally good versions.
 */
final class StratumJoiner {
  /** Age at which an incomplete merged stratum is released. */
  static final long MAX_MILLIS = 10_000;

  private static final long MIN_CALLS = 5;

  private final SortedMap<RouteAndDomain, Stratum> pending = new TreeMap<>();

  /**
   * Adds a stratum; returns the merged stratum once both versions have enough calls, else nothing.
   */
  List<Stratum> add(Stratum stratum) {
    RouteAndDomain key = new RouteAndDomain(stratum.route(), stratum.domain());
    Stratum joined = pending.merge(key, stratum, Stratum::plus);
    if (Math.min(joined.old().calls(), joined.fresh().calls()) < MIN_CALLS) {
      return List.of();
    }
    pending.remove(key);
    return List.of(joined);
  }

  /** Removes and returns incomplete strata that are at least {@link #MAX_MILLIS} old. */
  List<Stratum> overdue(long endMillis) {
    List<Stratum> overdue = new ArrayList<>();
    Iterator<Stratum> all = pending.values().iterator();
    while (all.hasNext()) {
      Stratum stratum = all.next();
      if (endMillis - stratum.atMillis() >= MAX_MILLIS) {
        overdue.add(stratum);
        all.remove();
      }
    }
    return overdue;
  }
}
