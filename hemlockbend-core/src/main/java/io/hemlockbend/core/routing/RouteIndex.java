package io.hemlockbend.core.routing;

import io.hemlockbend.core.model.Route;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route with the longest prefix of a path. Prefixes end at a slash, so that {@code
 * /quotes} covers {@code /quotes/7} and not {@code /quotesheet}. A lookup takes one step per path
 * segment, regardless of the number of routes.
 */
final class RouteIndex {
  private final Map<String, Route> byPrefix = new HashMap<>();

  RouteIndex(Collection<Route> routes) {
    for (Route route : routes) {
      byPrefix.put(withoutTrailingSlashes(route.pathPrefix()), route);
    }
  }

  Optional<Route> find(String path) {
    String prefix = withoutTrailingSlashes(path);
    while (!prefix.isEmpty()) {
      Route route = byPrefix.get(prefix);
      if (route != null) {
        return Optional.of(route);
      }
      prefix = prefix.substring(0, Math.max(0, prefix.lastIndexOf('/')));
    }
    return Optional.ofNullable(byPrefix.get(""));
  }

  private static String withoutTrailingSlashes(String path) {
    int end = path.length();
    while (end > 0 && path.charAt(end - 1) == '/') {
      end--;
    }
    return path.substring(0, end);
  }
}
