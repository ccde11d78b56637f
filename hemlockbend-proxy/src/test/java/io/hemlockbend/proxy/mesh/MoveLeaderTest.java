package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.NodeInfo;
import io.hemlockbend.proxy.peer.OperatorOrders;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class MoveLeaderTest {
  private static final VersionName V2 = new VersionName("v2");
  private static final StoreVersion NUMBER = new StoreVersion(1, 3);
  private static final long DURATION_MILLIS = 6_000;
  private static final Duration WAIT = Duration.ofSeconds(30);

  private final MeshFixture mesh = new MeshFixture();

  @AfterEach
  void close() throws Exception {
    mesh.close();
  }

  @Test
  void firstNodeByNameThatReachesTheStoreLeadsAndOnlyIt() {
    MeshFixture.Member first = started(MeshFixture.V1);
    MeshFixture.Member second = started(V2);
    order(first, second);
    await().atMost(WAIT).until(() -> first.savedMoves.contains(order(MoveOrder.State.COMPLETED)));
    assertThat(second.savedMoves).isEmpty();
  }

  /** The move must complete even if its leader fails halfway. */
  @Test
  void nextNodeContinuesWhenTheLeaderFails() {
    MeshFixture.Member first = started(MeshFixture.V1);
    MeshFixture.Member second = started(MeshFixture.V1);
    MeshFixture.Member third = started(V2);
    order(first, second, third);
    await().atMost(WAIT).until(() -> first.savedMoves.contains(order(MoveOrder.State.RUNNING)));
    first.loop.close();
    await().atMost(WAIT).until(() -> second.savedMoves.contains(order(MoveOrder.State.COMPLETED)));
    assertThat(first.savedMoves).doesNotContain(order(MoveOrder.State.COMPLETED));
    assertThat(third.savedMoves).isEmpty();
  }

  @Test
  void leaderThatLosesTheStoreHandsOver() {
    MeshFixture.Member first = started(MeshFixture.V1);
    MeshFixture.Member second = started(V2);
    order(first, second);
    await().atMost(WAIT).until(() -> !first.savedMoves.isEmpty());
    first.runOnLoop(() -> first.node.updateStoreReachable(false));
    await().atMost(WAIT).until(() -> second.savedMoves.contains(order(MoveOrder.State.COMPLETED)));
    assertThat(first.savedMoves).doesNotContain(order(MoveOrder.State.COMPLETED));
  }

  /** It knows the first node, which leads, but has no answer from it yet. */
  @Test
  void nodeThatJoinsDoesNotLeadBeforeItCouldHearOfTheOthers() throws Exception {
    MeshFixture.Member first = started(MeshFixture.V1);
    NodeInfo there = first.node.mesh().self();
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      MeshFixture.Member joined =
          mesh.addKnowing(
              "tunis",
              new NodeInfo(
                  there.node(),
                  "127.0.0.1",
                  silent.getLocalPort(),
                  there.domain(),
                  there.startedMillis()));
      joined.runOnLoop(() -> joined.node.updateStoreReachable(true));
      order(joined);
      await()
          .during(Duration.ofMillis(800))
          .atMost(WAIT)
          .untilAsserted(() -> assertThat(joined.savedMoves).isEmpty());
    }
  }

  private MeshFixture.Member started(VersionName version) {
    MeshFixture.Member member = mesh.add("tunis");
    member.announce(version);
    member.runOnLoop(() -> member.node.updateStoreReachable(true));
    return member;
  }

  private void order(MeshFixture.Member... members) {
    MeshFixture.Member last = members[members.length - 1];
    for (MeshFixture.Member member : members) {
      await()
          .atMost(WAIT)
          .until(
              () ->
                  member == last
                      || member.callOnLoop(
                          () -> member.node.mesh().alive(last.node.mesh().self().node())));
    }
    for (MeshFixture.Member member : members) {
      member.runOnLoop(
          () ->
              member.node.updateOrders(
                  new OperatorOrders(
                      NUMBER, Set.of(), List.of(order(MoveOrder.State.RUNNING)), Set.of())));
    }
  }

  private static MoveOrder order(MoveOrder.State state) {
    return new MoveOrder(MeshFixture.SERVICE, V2, NUMBER, DURATION_MILLIS, state);
  }
}
