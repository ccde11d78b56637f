package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;

/**
 * Where calls are compared.
 *
 * @param route the route
 * @param domain the failure domain
 */
record Place(RouteName route, FailureDomain domain) implements Comparable<Place> {
  @Override
  public int compareTo(Place other) {
    int byRoute = route.compareTo(other.route);
    return byRoute != 0 ? byRoute : domain.compareTo(other.domain);
  }
}
