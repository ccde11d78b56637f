package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.proxy.peer.RouteCounts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts requests, failures and service time by route, for the current process of the upstream. */
final class RouteTally {
  private static final int MAX_ROUTES = 64;

  private final Map<RouteName, RouteCounts> byRoute = new HashMap<>();

  void add(RouteName route, boolean failed, boolean error, double serviceMillis) {
    if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
      return;
    }
    byRoute.merge(
        route,
        new RouteCounts(route, 1, failed ? 1 : 0, error ? 1 : 0, serviceMillis),
        (one, other) ->
            new RouteCounts(
                route,
                one.calls() + other.calls(),
                one.failures() + other.failures(),
                one.errors() + other.errors(),
                one.totalMillis() + other.totalMillis()));
  }

  List<RouteCounts> counts() {
    return new ArrayList<>(byRoute.values());
  }

  void clear() {
    byRoute.clear();
  }
}
