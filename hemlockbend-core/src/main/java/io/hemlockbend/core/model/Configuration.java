package io.hemlockbend.core.model;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A complete, immutable configuration, as every node holds it.
 *
 * @param version the configuration's version number
 * @param services the services by name
 * @param versions whether each upstream version may take traffic
 * @param routes the routes by name
 * @param moves the moves in progress, at most one per service
 * @param domains the failure domains that are withdrawn or being restored
 */
public record Configuration(
    ConfigurationVersion version,
    SortedMap<ServiceName, Service> services,
    SortedMap<VersionKey, VersionState> versions,
    SortedMap<RouteName, Route> routes,
    SortedMap<ServiceName, Move> moves,
    SortedMap<FailureDomain, DomainState> domains) {
  /** The configuration that every mesh starts from. */
  public static final Configuration EMPTY =
      new Configuration(
          ConfigurationVersion.NONE,
          new TreeMap<>(),
          new TreeMap<>(),
          new TreeMap<>(),
          new TreeMap<>(),
          new TreeMap<>());

  /** Copies the maps to keep the configuration immutable. */
  public Configuration {
    services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
    versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
    routes = Collections.unmodifiableSortedMap(new TreeMap<>(routes));
    moves = Collections.unmodifiableSortedMap(new TreeMap<>(moves));
    domains = Collections.unmodifiableSortedMap(new TreeMap<>(domains));
  }

  /** Returns whether the version exists and was not taken back. */
  public boolean usable(VersionKey key) {
    return versions.get(key) == VersionState.USABLE;
  }
}
