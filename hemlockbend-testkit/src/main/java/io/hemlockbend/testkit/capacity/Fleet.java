package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.Region;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.routing.RoutingInput;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Generates members and configurations of a given size, distributed over failure domains and
 * regions as at the target size.
 */
final class Fleet {
  /** Number of upstreams at the target size. */
  static final int TARGET_UPSTREAMS = 3_100;

  /** Number of services at the target size. */
  static final int TARGET_SERVICES = 350;

  private static final int DOMAINS = 11;
  private static final int REGIONS = 3;
  private static final int ROUTES_PER_SERVICE = 3;
  private static final int SLOTS = 12;
  private static final int PORTS = 60_000;

  private Fleet() {}

  static Configuration configuration(int services) {
    List<Change> changes = new ArrayList<>();
    for (int i = 0; i < services; i++) {
      changes.add(new Change.AddVersion(key(i, 1), new TeamName("team-" + i % 20)));
      changes.add(new Change.AddVersion(key(i, 2), new TeamName("team-" + i % 20)));
      for (int r = 0; r < ROUTES_PER_SERVICE; r++) {
        changes.add(new Change.PutRoute(route(i, r)));
      }
    }
    return ChangeApplier.apply(Configuration.EMPTY, changes);
  }

  static RoutingInput routingInput(int members) {
    return new RoutingInput(
        configuration(TARGET_SERVICES),
        members(members, TARGET_SERVICES),
        Set.of(),
        new FailureDomain("domain-0"),
        0);
  }

  static Route route(int service, int number) {
    return new Route(
        new RouteName("route-" + service + "-" + number),
        "/service-" + service + "/part-" + number,
        new ServiceName("service-" + service),
        Priority.NORMAL);
  }

  static VersionKey key(int service, int version) {
    return new VersionKey(new ServiceName("service-" + service), new VersionName("v" + version));
  }

  static List<Member> members(int count, int services) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member(i, i % services));
    }
    return members;
  }

  private static Member member(int number, int service) {
    int domain = number % DOMAINS;
    String host = "10.0." + number / 250 + "." + number % 250;
    return new Member(
        new NodeId("node-" + number),
        new Region("region-" + domain % REGIONS),
        new FailureDomain("domain-" + domain),
        new NodeAddress(host, 1 + number % PORTS),
        new NodeAddress(host, 2 + number % PORTS),
        1_700_000_000_000L + number,
        MemberStatus.ALIVE,
        new ConfigurationVersion(1),
        Optional.of(
            new Endpoint(
                new UpstreamId("upstream-" + number),
                new StartId("start-" + number),
                key(service, 1),
                EndpointState.READY,
                SLOTS)));
  }
}
