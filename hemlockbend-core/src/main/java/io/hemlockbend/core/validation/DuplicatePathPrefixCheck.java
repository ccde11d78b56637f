package io.hemlockbend.core.validation;

import io.hemlockbend.core.model.Route;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that no two routes have the same path prefix, so that each path matches one route. A
 * trailing slash makes no difference, as in routing. No properties.
 *
 * <p>Example of a violation: routes {@code a} and {@code b} both have the path prefix {@code
 * /quotes}; the violation is reported for {@code b}.
 */
public final class DuplicatePathPrefixCheck implements ConfigurationCheck {
  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.WHOLE);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    Map<String, Route> byPath = new HashMap<>();
    for (Route route : context.configuration().routes().values()) {
      Route other = byPath.putIfAbsent(normalize(route), route);
      if (other != null) {
        reporter.accept(
            Violation.of(
                ViolationKey.PATH_PREFIX_TWICE,
                "route " + route.name(),
                route.pathPrefix(),
                other.name()));
      }
    }
  }

  private static String normalize(Route route) {
    String path = route.pathPrefix();
    return path.endsWith("/") ? path : path + "/";
  }
}
