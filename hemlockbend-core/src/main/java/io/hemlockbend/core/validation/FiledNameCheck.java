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
 * Checks that each service, route and move is filed under its own name, which a body read from
 * outside could get wrong. No properties.
 *
 * <p>Example of a violation: a route named {@code quotes} under the key {@code orders}.
 */
public final class FiledNameCheck implements ConfigurationCheck {
  @Override
  public Set<PartKind> wantedKinds() {
    return EnumSet.of(PartKind.SERVICE, PartKind.ROUTE, PartKind.MOVE);
  }

  @Override
  public void visit(ConfigurationPart part, ValidationContext context, Consumer<Violation> found) {
    switch (part) {
      case ConfigurationPart.ServicePart(ServiceName key, Service service) ->
          compare("service " + service.name(), key, service.name(), found);
      case ConfigurationPart.RoutePart(RouteName key, Route route) ->
          compare("route " + route.name(), key, route.name(), found);
      case ConfigurationPart.MovePart(ServiceName key, Move move) ->
          compare("move of " + move.service(), key, move.service(), found);
      default -> throw new IllegalArgumentException("not a wanted kind: " + part.kind());
    }
  }

  private static void compare(String subject, Object key, Object name, Consumer<Violation> found) {
    if (!key.equals(name)) {
      found.accept(Violation.of(ViolationKey.FILED_UNDER_OTHER_NAME, subject, key));
    }
  }
}
