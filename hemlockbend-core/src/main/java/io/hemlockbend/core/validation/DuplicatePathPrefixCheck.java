package io.hemlockbend.core.validation;

import io.hemlockbend.core.model.Route;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that no two routes have the same path prefix, so that one route answers for each path. A
 * slash at the end makes no difference, as in routing. No properties.
 *
 * <p>Example of a violation: routes {@code a} and {@code b} both with the path prefix {@code
 * /quotes}; {@code b} is named.
 */
public final class DuplicatePathPrefixCheck implements ConfigurationCheck {
  @Override
  public Set<PartKind> wantedKinds() {
    return EnumSet.of(PartKind.WHOLE);
  }

  @Override
  public void visit(ConfigurationPart part, ValidationContext context, Consumer<Violation> found) {
    Map<String, Route> byPath = new HashMap<>();
    for (Route route : context.configuration().routes().values()) {
      Route other = byPath.putIfAbsent(normal(route), route);
      if (other != null) {
        found.accept(
            Violation.of(
                ViolationKey.PATH_PREFIX_TWICE,
                "route " + route.name(),
                route.pathPrefix(),
                other.name()));
      }
    }
  }

  private static String normal(Route route) {
    String path = route.pathPrefix();
    return path.endsWith("/") ? path : path + "/";
  }
}
