package io.hemlockbend.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.Ack;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.message.PeerMessage.Members;
import io.hemlockbend.core.message.PeerMessage.Ping;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class MembershipTest {
  private static final VersionMark MARK_1 =
      new VersionMark(new ConfigurationVersion(1), new Digest("1".repeat(64)));
  private static final VersionMark MARK_2 =
      new VersionMark(new ConfigurationVersion(2), new Digest("2".repeat(64)));

  private final Map<NodeAddress, Membership> up = new HashMap<>();
  private long now = 1_000;
  private boolean partitioned;

  private Membership start(int index) {
    Membership node =
        new Membership(
            MemberFixtures.node(index), MembershipSettings.DEFAULT, new SplittableRandom(index));
    up.put(MemberFixtures.node(index).control(), node);
    deliver(node.join(List.of(MemberFixtures.node(1).control()), now));
    return node;
  }

  private void deliver(List<Outbound> messages) {
    if (partitioned) {
      return;
    }
    for (Outbound outbound : messages) {
      Membership to = up.get(outbound.to());
      if (to != null) {
        deliver(to.receive(outbound.message(), now));
      }
    }
  }

  private void run(long millis) {
    for (long end = now + millis; now < end; now += 100) {
      List.copyOf(up.values()).forEach(node -> deliver(node.tick(now)));
    }
  }

  private static MemberStatus statusSeen(Membership by, int index) {
    return by.find(MemberFixtures.node(index).id()).map(Member::status).orElse(null);
  }

  @Test
  void joinedNodesShareMembersAndEndpoints() {
    Membership first = start(1);
    Membership second = start(2);
    Membership third = start(3);
    third.endpoint(Optional.of(MemberFixtures.endpoint(1, EndpointState.READY)));
    run(3_000);
    assertThat(first.members()).hasSize(3);
    assertThat(second.find(third.self().id()).orElseThrow().endpoint())
        .contains(MemberFixtures.endpoint(1, EndpointState.READY));
  }

  @Test
  void unresponsiveNodeBecomesSuspectThenDeadAndRejoinsWithHigherIncarnation() {
    Membership first = start(1);
    start(2);
    Membership third = start(3);
    run(3_000);
    up.remove(third.self().control());
    run(4_000);
    assertThat(statusSeen(first, 3)).isEqualTo(MemberStatus.SUSPECT);
    run(8_000);
    assertThat(statusSeen(first, 3)).isEqualTo(MemberStatus.DEAD);
    Membership restarted = start(3);
    run(3_000);
    assertThat(statusSeen(first, 3)).isEqualTo(MemberStatus.ALIVE);
    assertThat(restarted.self().incarnation()).isPositive();
  }

  @Test
  void leavingNodeIsMarkedLeftNotDead() {
    Membership first = start(1);
    Membership second = start(2);
    run(3_000);
    deliver(second.leave(now));
    up.remove(second.self().control());
    run(12_000);
    assertThat(statusSeen(first, 2)).isEqualTo(MemberStatus.LEFT);
    assertThat(second.tick(now)).isEmpty();
  }

  @Test
  void partitionHealsAfterAnHourWithoutSeeds() {
    Membership seed = start(1);
    Membership second = start(2);
    Membership third = start(3);
    run(3_000);
    up.remove(seed.self().control());
    partitioned = true;
    run(3_600_000);
    assertThat(statusSeen(second, 3)).isEqualTo(MemberStatus.DEAD);
    assertThat(statusSeen(third, 2)).isEqualTo(MemberStatus.DEAD);
    partitioned = false;
    run(15_000);
    assertThat(statusSeen(second, 3)).isEqualTo(MemberStatus.ALIVE);
    assertThat(statusSeen(third, 2)).isEqualTo(MemberStatus.ALIVE);
  }

  @Test
  void resumedNodeIsFencedUntilPeersAnswerAndItCatchesUp() {
    Membership first = start(1);
    Membership second = start(2);
    first.applied(MARK_1);
    second.applied(MARK_1);
    run(3_000);
    up.remove(second.self().control());
    first.applied(MARK_2);
    run(20_000);
    up.put(second.self().control(), second);
    second.receive(new Ack(first.self().id(), 1, MARK_1, List.of(), List.of(), List.of()), now);
    assertThat(second.fenced()).isTrue();
    run(5_000);
    assertThat(second.fenced()).as("peers answered, but newest configuration not applied").isTrue();
    second.applied(MARK_2);
    assertThat(second.fenced()).isFalse();
  }

  @Test
  void resumedNodeDoesNotSuspectPeers() {
    Membership first = start(1);
    start(2);
    run(3_000);
    while (first.tick(now).stream().noneMatch(out -> out.message() instanceof Ping)) {
      now += 100;
    }
    now += 60_000;
    first.tick(now);
    first.tick(now + 100);
    assertThat(statusSeen(first, 2)).isEqualTo(MemberStatus.ALIVE);
  }

  @Test
  void restartedNodeLearnsItsAppliedVersionFromPeers() {
    Membership first = start(1);
    start(2).applied(MARK_2);
    run(3_000);
    Membership restarted = start(2);
    assertThat(first.find(restarted.self().id()).orElseThrow().applied())
        .isEqualTo(MARK_2.version());
    assertThat(restarted.recordedApplied()).isEqualTo(MARK_2.version());
    long before = restarted.changes();
    Member newer = restarted.self().withApplied(new ConfigurationVersion(3));
    restarted.receive(new Members(first.self().id(), MARK_2, List.of(newer)), now);
    assertThat(restarted.changes())
        .as("a newer recorded version counts as a change")
        .isGreaterThan(before);
  }

  @Test
  void brakeIsDeliveredOnceToAllAndToLaterJoiners() {
    Membership first = start(1);
    Membership second = start(2);
    run(3_000);
    Brake brake =
        new Brake(
            new VersionKey(new ServiceName("s"), new VersionName("v2")),
            MARK_1.version(),
            "failures");
    first.spread(brake);
    run(1_000);
    assertThat(second.receivedBrakes()).containsExactly(brake);
    run(5_000);
    assertThat(second.receivedBrakes()).isEmpty();
    assertThat(start(3).receivedBrakes()).containsExactly(brake);
  }

  @Test
  void expiredCrashReportIsRemovedAndNotAcceptedAgain() {
    Membership first = start(1);
    Membership second = start(2);
    run(3_000);
    Suspicion report = new Suspicion(new RequestId("r"), List.of(), now + 5_000);
    first.spread(report);
    run(1_000);
    assertThat(second.receivedSuspicions()).containsExactly(report);
    run(10_000);
    PeerMessage late =
        new Ping(first.self().id(), 0, MARK_1, List.of(), List.of(), List.of(report));
    second.receive(late, now);
    assertThat(second.receivedSuspicions()).isEmpty();
  }

  @Test
  void urgentCrashReportReachesASmallMeshWithoutWaiting() {
    Membership first = start(1);
    List<Membership> others = List.of(start(2), start(3), start(4));
    run(3_000);
    Suspicion report = new Suspicion(new RequestId("r"), List.of(), now + 5_000);
    first.spread(report);
    deliver(first.gossipNow(now));
    assertThat(others)
        .allSatisfy(node -> assertThat(node.receivedSuspicions()).containsExactly(report));
  }

  @Test
  void onlyLaggingMembersArePinged() {
    Membership first = start(1);
    Membership second = start(2);
    Membership third = start(3);
    List.of(first, second, third).forEach(node -> node.applied(MARK_1));
    run(10_000);
    second.applied(MARK_2);
    deliver(first.pingLagging(MARK_2.version(), 10, now));
    assertThat(first.pingLagging(MARK_2.version(), 10, now))
        .extracting(Outbound::to)
        .containsExactly(third.self().control());
  }

  @Test
  void messageSizesStayBounded() {
    Membership node = start(1);
    List<Member> many = new ArrayList<>();
    for (int index = 2; index < 250; index++) {
      many.add(MemberFixtures.node(index));
    }
    node.receive(new Ping(many.getFirst().id(), 0, MARK_1, many, List.of(), List.of()), now);
    for (Outbound outbound : node.tick(now)) {
      if (outbound.message() instanceof Ping ping) {
        assertThat(ping.news()).hasSizeLessThanOrEqualTo(8);
      }
    }
    PeerMessage join =
        new PeerMessage.Join(MemberFixtures.node(250).id(), MemberFixtures.node(250));
    assertThat(node.receive(join, now))
        .allSatisfy(
            outbound ->
                assertThat(((Members) outbound.message()).members())
                    .hasSizeLessThanOrEqualTo(MembershipSettings.JOIN_SAMPLE + 2));
  }
}
