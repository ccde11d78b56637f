package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;

/**
 * Key of the calls that are compared with each other.
 *
 * @param route the route
 * @param domain the failure domain
 */
record RouteAndDomain(RouteName route, FailureDomain domain) implements Comparable<RouteAndDomain> {
  @Override
  public int compareTo(RouteAndDomain other) {
    int byRoute = route.compareTo(other.route);
    return byRoute != 0 ? byRoute : domain.compareTo(other.domain);
  }
}
