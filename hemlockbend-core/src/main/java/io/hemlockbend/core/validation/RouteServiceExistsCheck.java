package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.model.Route;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that each route points at a service of the configuration, so that no proxy holds a route
 * to a service that it does not know. No properties.
 *
 * <p>Example of a violation: route {@code quotes} points at service {@code quote}, but only {@code
 * quotes} exists.
 */
public final class RouteServiceExistsCheck implements ConfigurationCheck {
  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.ROUTE);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    if (part instanceof ConfigurationPart.RoutePart(RouteName key, Route route)
        && !context.configuration().services().containsKey(route.service())) {
      reporter.accept(
          Violation.of(ViolationKey.ROUTE_SERVICE_MISSING, "route " + key, route.service()));
    }
  }
}
