package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.Region;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.ConfigurationDigester;
import io.hemlockbend.core.model.Route;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Members, and configurations of versions 1, 2, 3 and so on, each a change of the one before. */
final class DistributionFixtures {
  static final ConfigurationDigester DIGESTER =
      configuration -> new Digest(String.format("%064x", configuration.hashCode() & 0xffffffffL));

  private static final ServiceName SERVICE = new ServiceName("quotes");

  private DistributionFixtures() {}

  static List<Change> change(int version) {
    RouteName name = new RouteName("route-" + version);
    Change route = new Change.PutRoute(new Route(name, "/" + version, SERVICE, Priority.NORMAL));
    VersionKey key = new VersionKey(SERVICE, new VersionName("v1"));
    return version == 1
        ? List.of(new Change.AddVersion(key, new TeamName("team")), route)
        : List.of(route);
  }

  static Configuration configuration(int version) {
    Configuration result = Configuration.EMPTY;
    for (int step = 1; step <= version; step++) {
      result = ChangeApplier.apply(result, change(step));
    }
    return result;
  }

  static VersionMark mark(int version) {
    Configuration configuration = configuration(version);
    return new VersionMark(new ConfigurationVersion(version), DIGESTER.digest(configuration));
  }

  static List<List<Change>> steps(int after, int last) {
    List<List<Change>> steps = new ArrayList<>();
    for (int version = after + 1; version <= last; version++) {
      steps.add(change(version));
    }
    return steps;
  }

  static NodeId id(int index) {
    return new NodeId("node-" + index);
  }

  static Member member(int index, MemberStatus status) {
    NodeAddress address = new NodeAddress("10.0.0.1", 7_000 + index);
    return new Member(
        id(index),
        new Region("r"),
        new FailureDomain("d"),
        address,
        address,
        0,
        status,
        ConfigurationVersion.NONE,
        Optional.empty());
  }
}
