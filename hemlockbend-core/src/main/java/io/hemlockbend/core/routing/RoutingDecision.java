package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.Route;
import java.util.Optional;

/** Where a request goes. */
public sealed interface RoutingDecision {

  /**
   * It goes to an upstream.
   *
   * @param route the route that it took
   * @param candidate the upstream
   * @param locality whether and why the own failure domain was left
   */
  record Forward(Route route, Candidate candidate, Locality locality) implements RoutingDecision {}

  /**
   * It is refused; nothing has run.
   *
   * @param reason why
   * @param route the route, when there is one
   * @param version the version that it would have gone to, when known
   */
  record Refuse(RefusalReason reason, Optional<Route> route, Optional<VersionKey> version)
      implements RoutingDecision {}
}
