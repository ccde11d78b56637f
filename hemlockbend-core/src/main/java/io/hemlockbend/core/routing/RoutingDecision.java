package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.Route;
import java.util.Optional;

/** The routing decision for a request. */
public sealed interface RoutingDecision {

  /**
   * The request is forwarded to an upstream.
   *
   * @param route the route that it matched
   * @param candidate the upstream
   * @param locality whether and why it leaves the failure domain of the entry
   */
  record Forward(Route route, Candidate candidate, Locality locality) implements RoutingDecision {}

  /**
   * The request is refused; it has not run.
   *
   * @param reason why it is refused
   * @param route the route, if one matched
   * @param version the version chosen for it, if any
   */
  record Refuse(RoutingRefusal reason, Optional<Route> route, Optional<VersionKey> version)
      implements RoutingDecision {}
}
