package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Region;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import java.util.Optional;

/** Members and endpoints that the tests share. */
final class MemberFixtures {
  private MemberFixtures() {}

  static Member node(int index) {
    NodeAddress address = new NodeAddress("10.0.0." + index, 7_000);
    return new Member(
        new NodeId("node-" + index),
        new Region("r"),
        new FailureDomain("d"),
        address,
        address,
        0,
        MemberStatus.ALIVE,
        ConfigurationVersion.NONE,
        Optional.empty());
  }

  static Endpoint endpoint(int start, EndpointState state) {
    VersionKey key = new VersionKey(new ServiceName("s"), new VersionName("v1"));
    return new Endpoint(new UpstreamId("u"), new StartId("start-" + start), key, state, 10);
  }
}
