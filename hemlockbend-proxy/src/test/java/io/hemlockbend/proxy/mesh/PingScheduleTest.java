package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.proxy.peer.NodeInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Load: nodes that have nothing to do but to watch each other. */
class PingScheduleTest {
  private static final long TICK_MILLIS = 100;
  private static final int SECONDS = 24;
  private static final long START = 100_000;

  private final List<Peer> peers = new ArrayList<>();
  private final PingSchedule schedule = new PingSchedule(peers);

  private void add(int count, boolean near) {
    for (int i = 0; i < count; i++) {
      NodeInfo info =
          new NodeInfo(
              new NodeId("n" + peers.size()), "10.0.0.1", 7_620, new FailureDomain("tunis"), 1);
      Peer peer = new Peer(info, near);
      // Links are opened one after the other, so that their pings are spread.
      peer.reportMillis = START + 31L * peers.size() % 1_000;
      peer.pingedMillis = peer.reportMillis;
      peers.add(peer);
    }
  }

  /** Counts the messages of a node a second: its pings and answers, and those of the others. */
  private double messagesPerSecond() {
    int messages = 0;
    for (long now = START; now < START + SECONDS * 1_000; now += TICK_MILLIS) {
      for (Peer peer : peers) {
        if (schedule.due(peer, now)) {
          peer.pingSent(now);
          peer.pingAnswered();
          peer.reportMillis = now;
          // The other node of the pair pings in turn and is answered too.
          messages += 4;
        }
      }
    }
    return messages / 2.0 / SECONDS;
  }

  @ParameterizedTest
  @CsvSource({"18, 76, 100", "59, 240, 200"})
  void largeMeshCostsAnIdleNodeFewMessages(int near, int far, int most) {
    add(near, true);
    add(far, false);
    assertThat(messagesPerSecond()).isLessThanOrEqualTo(most);
  }

  @Test
  void smallMeshIsPingedEachHalfSecond() {
    add(11, false);
    assertThat(schedule.due(peers.get(0), peers.get(0).pingedMillis + 500)).isTrue();
    assertThat(schedule.due(peers.get(0), peers.get(0).pingedMillis + 499)).isFalse();
  }

  @Test
  void leaderOfAMoveGetsReportsOfAllNodesEachSecond() {
    add(94, false);
    Peer peer = peers.get(0);
    assertThat(schedule.due(peer, peer.pingedMillis + 1_000)).isFalse();
    schedule.leadsMoves(Set.of(MeshFixture.SERVICE));
    assertThat(schedule.due(peer, peer.pingedMillis + 1_000)).isTrue();
  }

  @Test
  void nodeThatOthersFoundSilentIsSuspectSooner() {
    add(94, false);
    Peer peer = peers.get(0);
    peer.pingSent(START);
    assertThat(schedule.silent(peer, START + 300)).isFalse();
    peer.silenceReportedMillis = START;
    assertThat(schedule.silent(peer, START + 300)).isTrue();
    peer.pingAnswered();
    assertThat(schedule.silent(peer, START + 300)).isFalse();
  }

  @Test
  void silenceOfMostNodesIsNotTakenForTheirs() {
    add(10, false);
    peers.get(0).pingSent(START);
    assertThat(schedule.silenceIsTheirs(START + 1_000)).isTrue();
    peers.subList(0, 6).forEach(peer -> peer.pingSent(START));
    assertThat(schedule.silenceIsTheirs(START + 1_000)).isFalse();
  }

  /** Else the nodes that are gone for good would make this node's own link look broken. */
  @Test
  void nodesWhoseLinksWereLostDoNotCountAsSilent() {
    add(10, false);
    peers.forEach(peer -> peer.pingSent(START));
    peers.subList(0, 8).forEach(Peer::linkLost);
    assertThat(schedule.silent(peers.get(0), START + 1_000)).isFalse();
    assertThat(schedule.silenceIsTheirs(START + 1_000)).isTrue();
  }

  @Test
  void requestOnALinkNotHeardOfIsSentWithAPing() {
    add(94, false);
    Peer peer = peers.get(0);
    peer.heardMillis = START;
    assertThat(schedule.dueWithRequest(peer, START + 999)).isFalse();
    assertThat(schedule.dueWithRequest(peer, START + 1_000)).isTrue();
    peer.pingSent(START + 1_000);
    assertThat(schedule.dueWithRequest(peer, START + 1_100)).isFalse();
  }
}
