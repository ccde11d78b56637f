package io.hemlockbend.core.placement;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.traffic.WeightedService;
import java.util.List;

/**
 * Deals requests to the services of a route in turns, so that each gets its weight's share also of
 * few requests (smooth weighted round robin).
 */
public final class WeightedTurns {
  private final List<WeightedService> services;
  private final double[] credit;
  private final double total;

  /**
   * Makes the turns of a route.
   *
   * @param services the services; at least one
   * @param offset where to begin, so that nodes do not all begin with the same service; any number
   */
  public WeightedTurns(List<WeightedService> services, int offset) {
    this.services = services;
    this.credit = new double[services.size()];
    double sum = 0;
    for (WeightedService service : services) {
      sum += service.weight();
    }
    this.total = sum;
    for (int i = 0; i < Math.floorMod(offset, 64); i++) {
      next();
    }
  }

  /** Returns the services that the turns are dealt to. */
  public List<WeightedService> services() {
    return services;
  }

  /** Returns whose turn it is. */
  public ServiceName next() {
    int best = 0;
    for (int i = 0; i < credit.length; i++) {
      credit[i] += services.get(i).weight();
      if (credit[i] > credit[best]) {
        best = i;
      }
    }
    credit[best] -= total;
    return services.get(best).service();
  }
}
