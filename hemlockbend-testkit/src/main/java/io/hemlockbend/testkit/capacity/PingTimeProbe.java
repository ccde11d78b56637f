package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.membership.Membership;
import io.hemlockbend.core.message.PeerMessage.Ping;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.List;

/** Measures the time to process and answer a ping that carries six claims about members. */
final class PingTimeProbe implements Probe {
  private static final int CLAIMS = 6;

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "membership",
        "ping taken in and answered",
        "members",
        "ns",
        List.of(100, 400, 800, 1600, 3100),
        Fleet.TARGET_UPSTREAMS);
  }

  @Override
  public double measure(int size) {
    Membership membership = Memberships.withMembers(size);
    Ping ping =
        new Ping(
            new NodeId("node-1"),
            1,
            VersionMark.NONE,
            Fleet.members(CLAIMS, Fleet.TARGET_SERVICES),
            List.of(),
            List.of());
    return Timing.nanos(() -> membership.receive(ping, Memberships.NOW_MILLIS));
  }
}
