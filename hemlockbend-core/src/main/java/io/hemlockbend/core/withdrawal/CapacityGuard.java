package io.hemlockbend.core.withdrawal;

import io.hemlockbend.core.api.FailureDomain;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Spreads the calls of a service over the failure domains in use and tells what must be shed, so
 * that the domains that remain after a withdrawal are not overrun.
 *
 * <p>Each domain keeps the calls offered to it up to what it bears; the rest goes to the domains
 * with room, in proportion to their room. What finds no room is shed at the entry, before anything
 * runs.
 */
public final class CapacityGuard {
  /** The part of its capacity that a domain is filled to. */
  public static final double FILL_SHARE = 0.9;

  private CapacityGuard() {}

  /**
   * Plans the spread of a service's calls.
   *
   * @param loads the service's domains
   */
  public static CapacityPlan plan(List<DomainLoad> loads) {
    double offered = loads.stream().mapToDouble(DomainLoad::offered).sum();
    double borne = loads.stream().mapToDouble(CapacityGuard::borne).sum();
    if (borne <= 0) {
      return new CapacityPlan(new TreeMap<>(), offered > 0 ? 1 : 0);
    }
    double kept = loads.stream().mapToDouble(load -> Math.min(load.offered(), borne(load))).sum();
    double moved = Math.min(offered, borne) - kept;
    double room = borne - kept;
    SortedMap<FailureDomain, Double> weights = new TreeMap<>();
    for (DomainLoad load : loads) {
      double own = Math.min(load.offered(), borne(load));
      double taken = room > 0 ? moved * (borne(load) - own) / room : 0;
      double planned = offered > 0 ? own + taken : borne(load);
      weights.put(load.domain(), planned);
    }
    double total = weights.values().stream().mapToDouble(Double::doubleValue).sum();
    weights.replaceAll((domain, planned) -> planned / total);
    double shed = offered > borne ? 1 - borne / offered : 0;
    return new CapacityPlan(weights, shed);
  }

  private static double borne(DomainLoad load) {
    return load.capacity() * FILL_SHARE * load.sharePermille() / DomainGate.FULL_PERMILLE;
  }
}
