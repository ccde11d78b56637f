package io.hemlockbend.core.placement;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.traffic.WeightedService;
import java.util.List;

/**
 * Smooth weighted round robin over the services of a route: each service gets the share of its
 * weight even of a small number of requests.
 */
public final class WeightedRoundRobin {
  private final List<WeightedService> services;
  private final double[] credit;
  private final double total;

  /**
   * Creates the rotation of a route.
   *
   * @param services the services; at least one
   * @param offset turns to skip, modulo 64, so that nodes do not all start with the same service
   */
  public WeightedRoundRobin(List<WeightedService> services, int offset) {
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

  /** Returns the services of the route. */
  public List<WeightedService> services() {
    return services;
  }

  /** Returns the service that the next request goes to. */
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
