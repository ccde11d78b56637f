package io.hemlockbend.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Region;
import io.hemlockbend.core.membership.Membership;
import io.hemlockbend.core.membership.MembershipSettings;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LaggingPingsTest {
  private static final ConfigurationVersion VERSION = new ConfigurationVersion(1);
  private static final long ACCEPTED = 1_000;

  private final Membership membership =
      new Membership(member(1), MembershipSettings.DEFAULT, new SplittableRandom(1));
  private final LaggingPings pings = new LaggingPings(membership);

  @BeforeEach
  void meetAnotherMember() {
    Member other = member(2);
    membership.receive(
        new PeerMessage.Members(other.id(), VersionMark.NONE, List.of(other)), ACCEPTED);
  }

  private static Member member(int index) {
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

  @Test
  void nothingIsPingedWithoutAnAcceptedVersion() {
    assertThat(pings.due(VERSION, ACCEPTED)).isEmpty();
  }

  @Test
  void laggingMemberIsPingedAtIntervalsForAWhile() {
    pings.accepted(ACCEPTED);
    assertThat(pings.due(VERSION, ACCEPTED)).hasSize(1);
    assertThat(pings.due(VERSION, ACCEPTED + LaggingPings.INTERVAL_MILLIS - 1)).isEmpty();
    assertThat(pings.due(VERSION, ACCEPTED + LaggingPings.INTERVAL_MILLIS)).hasSize(1);
    assertThat(pings.due(VERSION, ACCEPTED + LaggingPings.DURATION_MILLIS)).isEmpty();
  }
}
