package io.hemlockbend.core.traffic;

import io.hemlockbend.core.api.ServiceName;

/**
 * A service's share of a route's requests.
 *
 * @param service the service
 * @param weight its weight relative to the other services of the route
 */
public record WeightedService(ServiceName service, double weight) {
  /**
   * Validates the weight.
   *
   * @throws IllegalArgumentException if the weight is negative or not finite
   */
  public WeightedService {
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be finite and not negative, got " + weight);
    }
  }
}
