package io.hemlockbend.core.withdrawal;

import io.hemlockbend.core.api.FailureDomain;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Distributes the calls of a service over the failure domains in use and computes the share to
 * shed, so that the domains that remain after a withdrawal are not overloaded.
 *
 * <p>Each domain keeps the calls offered to it up to its usable capacity; the rest goes to domains
 * with spare capacity, in proportion to it. Calls beyond the total capacity are shed at the entry,
 * before anything runs.
 */
public final class CapacityGuard {
  /** The fraction of its capacity up to which a domain is used. */
  public static final double FILL_SHARE = 0.9;

  private CapacityGuard() {}

  /**
   * Plans the distribution of a service's calls.
   *
   * @param loads the load of each of the service's domains
   */
  public static CapacityPlan plan(List<DomainLoad> loads) {
    double offered = loads.stream().mapToDouble(DomainLoad::offered).sum();
    double totalCapacity = loads.stream().mapToDouble(CapacityGuard::usableCapacity).sum();
    if (totalCapacity <= 0) {
      return new CapacityPlan(new TreeMap<>(), offered > 0 ? 1 : 0);
    }
    double kept =
        loads.stream().mapToDouble(load -> Math.min(load.offered(), usableCapacity(load))).sum();
    double overflow = Math.min(offered, totalCapacity) - kept;
    double spare = totalCapacity - kept;
    SortedMap<FailureDomain, Double> weights = new TreeMap<>();
    for (DomainLoad load : loads) {
      double own = Math.min(load.offered(), usableCapacity(load));
      double received = spare > 0 ? overflow * (usableCapacity(load) - own) / spare : 0;
      double planned = offered > 0 ? own + received : usableCapacity(load);
      weights.put(load.domain(), planned);
    }
    double total = weights.values().stream().mapToDouble(Double::doubleValue).sum();
    weights.replaceAll((domain, planned) -> planned / total);
    double shed = offered > totalCapacity ? 1 - totalCapacity / offered : 0;
    return new CapacityPlan(weights, shed);
  }

  private static double usableCapacity(DomainLoad load) {
    return load.capacity() * FILL_SHARE * load.sharePermille() / DomainGate.FULL_PERMILLE;
  }
}
