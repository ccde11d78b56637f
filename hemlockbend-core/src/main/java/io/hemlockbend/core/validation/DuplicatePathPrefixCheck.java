package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.model.Route;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that no two routes have the same path prefix, so that one route answers for each path. No
 * properties.
 *
 * <p>Example of a violation: routes {@code a} and {@code b} both with the path prefix {@code
 * /quotes}; {@code b} is named.
 */
public final class DuplicatePathPrefixCheck implements ConfigurationCheck {
  @Override
  public Set<PartKind> wantedKinds() {
    return EnumSet.of(PartKind.ROUTE);
  }

  @Override
  public void visit(ConfigurationPart part, ValidationContext context, Consumer<Violation> found) {
    if (!(part instanceof ConfigurationPart.RoutePart(RouteName key, Route route))) {
      return;
    }
    context.configuration().routes().headMap(key).values().stream()
        .filter(other -> other.pathPrefix().equals(route.pathPrefix()))
        .findFirst()
        .ifPresent(
            other ->
                found.accept(
                    Violation.of(
                        ViolationKey.PATH_PREFIX_TWICE,
                        "route " + key,
                        route.pathPrefix(),
                        other.name())));
  }
}
