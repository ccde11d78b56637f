package io.hemlockbend.core.evidence;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Joins strata of the same route and domain that follow each other until both versions have a few
 * calls, or {@link #MAX_MILLIS} have passed. Strata with a single call of the fresh version would
 * say little: next to the few calls of the predecessor in that second its part looks large.
 *
 * <p>Where a stratum ends depends on the numbers of calls and not on how they ended, so the calls
 * in it stay exchangeable between like versions.
 */
final class StratumJoiner {
  /** The longest time that a joined stratum spans. */
  static final long MAX_MILLIS = 10_000;

  private static final long ENOUGH_CALLS = 5;

  private final SortedMap<Place, Stratum> open = new TreeMap<>();

  /** Adds a stratum and returns it joined to those before when they are enough together. */
  List<Stratum> add(Stratum stratum) {
    Place place = new Place(stratum.route(), stratum.domain());
    Stratum joined = open.merge(place, stratum, Stratum::plus);
    if (Math.min(joined.old().calls(), joined.fresh().calls()) < ENOUGH_CALLS) {
      return List.of();
    }
    open.remove(place);
    return List.of(joined);
  }

  /** Returns the strata that have waited for their time, as they are. */
  List<Stratum> overdue(long endMillis) {
    List<Stratum> overdue = new ArrayList<>();
    Iterator<Stratum> all = open.values().iterator();
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
