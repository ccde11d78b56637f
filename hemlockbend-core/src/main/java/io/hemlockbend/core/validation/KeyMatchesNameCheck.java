package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.model.Service;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that the key of each service, route and move equals its name, which a configuration read
 * from outside the node may violate. No properties.
 *
 * <p>Example of a violation: a route named {@code quotes} is stored under the key {@code orders}.
 */
public final class KeyMatchesNameCheck implements ConfigurationCheck {
  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.SERVICE, PartKind.ROUTE, PartKind.MOVE);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    switch (part) {
      case ConfigurationPart.ServicePart(ServiceName key, Service service) ->
          checkName("service " + service.name(), key, service.name(), reporter);
      case ConfigurationPart.RoutePart(RouteName key, Route route) ->
          checkName("route " + route.name(), key, route.name(), reporter);
      case ConfigurationPart.MovePart(ServiceName key, Move move) ->
          checkName("move of " + move.service(), key, move.service(), reporter);
      default -> throw new IllegalArgumentException("unexpected part kind: " + part.kind());
    }
  }

  private static void checkName(
      String subject, Object key, Object name, Consumer<Violation> reporter) {
    if (!key.equals(name)) {
      reporter.accept(Violation.of(ViolationKey.FILED_UNDER_OTHER_NAME, subject, key));
    }
  }
}
