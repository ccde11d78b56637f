package io.hemlockbend.core.traffic;

import io.hemlockbend.core.api.ServiceName;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable configuration of routes, services and caller limits. A request is matched to the route
 * of its host with the longest prefix of its path.
 */
public final class TrafficConfiguration {
  private final long version;
  private final List<TrafficRoute> routes;
  private final Map<ServiceName, TrafficService> services;
  private final CallerLimits limits;
  private final Map<String, Map<String, TrafficRoute>> byHost = new HashMap<>();

  /**
   * Creates a configuration.
   *
   * @param version its version; a greater one is newer
   * @param routes the routes; of several with the same host and prefix the first is used
   * @param services the services
   * @param limits limits of callers
   */
  public TrafficConfiguration(
      long version, List<TrafficRoute> routes, List<TrafficService> services, CallerLimits limits) {
    this.version = version;
    this.routes = List.copyOf(routes);
    this.limits = limits;
    Map<ServiceName, TrafficService> named = new HashMap<>();
    services.forEach(service -> named.put(service.name(), service));
    this.services = Map.copyOf(named);
    for (TrafficRoute route : this.routes) {
      byHost
          .computeIfAbsent(route.host(), host -> new HashMap<>())
          .putIfAbsent(route.prefix(), route);
    }
  }

  /** Returns the version; a greater one is newer. */
  public long version() {
    return version;
  }

  /** Returns the routes. */
  public List<TrafficRoute> routes() {
    return routes;
  }

  /** Returns the services by name. */
  public Map<ServiceName, TrafficService> services() {
    return services;
  }

  /** Returns the limits of callers. */
  public CallerLimits limits() {
    return limits;
  }

  /**
   * Finds the route of a request.
   *
   * @param hostHeader value of the Host header, with or without a port, or null
   * @param target request target: a path with an optional query
   */
  public Optional<TrafficRoute> route(String hostHeader, String target) {
    if (hostHeader == null) {
      return Optional.empty();
    }
    Map<String, TrafficRoute> prefixes = byHost.get(hostName(hostHeader));
    if (prefixes == null) {
      return Optional.empty();
    }
    int end = target.indexOf('?');
    int slash = target.lastIndexOf('/', end < 0 ? target.length() : end);
    while (slash >= 0) {
      TrafficRoute route = prefixes.get(target.substring(0, slash + 1));
      if (route != null) {
        return Optional.of(route);
      }
      slash = target.lastIndexOf('/', slash - 1);
    }
    return Optional.empty();
  }

  private static String hostName(String hostHeader) {
    int colon = hostHeader.indexOf(':');
    String name = colon < 0 ? hostHeader : hostHeader.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
