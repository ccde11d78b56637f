package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.withdrawal.DomainGate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable routing table: the configuration in force and the upstreams that are eligible under it.
 * Traffic threads read it through a single reference.
 */
public final class RoutingTable {
  private static final List<CandidateFilter> FILTERS =
      List.of(new LivenessFilter(), new WithdrawalFilter(), new BrakeFilter());

  private final Configuration configuration;
  private final RouteIndex routes;
  private final Map<VersionKey, Pool> pools;

  private RoutingTable(Configuration configuration, Map<VersionKey, Pool> pools) {
    this.configuration = configuration;
    this.routes = new RouteIndex(configuration.routes().values());
    this.pools = pools;
  }

  /**
   * Builds the table.
   *
   * @param input configuration, members, brakes and time
   */
  public static RoutingTable build(RoutingInput input) {
    Map<VersionKey, List<Candidate>> candidates = new HashMap<>();
    for (Member member : input.members()) {
      Endpoint endpoint = member.endpoint().orElse(null);
      if (endpoint == null || !eligible(member, endpoint, input)) {
        continue;
      }
      candidates
          .computeIfAbsent(endpoint.key(), key -> new ArrayList<>())
          .add(candidate(member, endpoint, input));
    }
    Map<VersionKey, Pool> pools = new HashMap<>();
    candidates.forEach((key, list) -> pools.put(key, Pool.of(list, input.own())));
    return new RoutingTable(input.configuration(), pools);
  }

  private static boolean eligible(Member member, Endpoint endpoint, RoutingInput input) {
    return FILTERS.stream().allMatch(filter -> filter.accepts(member, endpoint, input));
  }

  private static Candidate candidate(Member member, Endpoint endpoint, RoutingInput input) {
    int share =
        DomainGate.share(input.configuration().domains().get(member.domain()), input.nowMillis());
    return new Candidate(
        endpoint.upstream(),
        member.id(),
        endpoint.key(),
        member.domain(),
        member.mesh(),
        endpoint.slots(),
        share);
  }

  /** Returns the version of the configuration that the table was made from. */
  public ConfigurationVersion version() {
    return configuration.version();
  }

  /** Returns the configuration that the table was made from. */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the route with the longest prefix of a path.
   *
   * @param path the request's path
   */
  public Optional<Route> route(String path) {
    return routes.find(path);
  }

  /** Returns the number of eligible upstreams of a version. */
  public int candidates(VersionKey key) {
    return pool(key).all().size();
  }

  Pool pool(VersionKey key) {
    return pools.getOrDefault(key, Pool.NONE);
  }

  /** Returns the move of a service that is in progress, or null. */
  Move move(ServiceName service) {
    return configuration.moves().get(service);
  }
}
