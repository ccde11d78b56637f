package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerMeshTest {
  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final int REQUESTS = 4;

  /** What they earn pays for the retries of {@link #REQUESTS}. */
  private static final int REQUESTS_THAT_EARN = 60;

  private final MeshFixture mesh = new MeshFixture();

  @AfterEach
  void close() throws Exception {
    mesh.close();
  }

  /** If both nodes of each pair pinged, a large mesh would spend twice the time on pings. */
  @Test
  void pairOfNodesPingsAlternately() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    MeshFixture.Member second = mesh.add("sfax");
    awaitSeen(first, second, 2);
    long before = pings(first) + pings(second);
    Thread.sleep(4_000);
    // One node of the pair pings every half second; a few more if both start at once.
    assertThat(pings(first) + pings(second) - before).isBetween(6L, 11L);
    assertThat(first.callOnLoop(() -> first.node.mesh().aliveCount())).isEqualTo(1);
  }

  /** Pings of the other node arrive on another link and do not show that this one works. */
  @Test
  void silentLinkIsNotUsedEvenIfItsNodeSendsPings() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    try (NarrowLink link = new NarrowLink(first.node.mesh().self().address(), 1_000_000)) {
      MeshFixture.Member second = mesh.addBehind("sfax", first, link.port());
      awaitSeen(second, first, 2);
      link.silence();
      await()
          .atMost(Duration.ofSeconds(3))
          .until(() -> second.callOnLoop(() -> second.node.mesh().aliveCount()) == 0);
      assertThat(first.callOnLoop(() -> first.node.mesh().knownNodes())).hasSize(2);
    }
  }

  /** The link would be closed only after their deadlines. */
  @Test
  void repeatableRequestsLeaveASilentLinkInTime() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    try (NarrowLink link = new NarrowLink(first.node.mesh().self().address(), 1_000_000)) {
      MeshFixture.Member second = mesh.addBehind("sfax", first, link.port());
      awaitSeen(second, first, 2);
      MeshFixture.Member third = mesh.add("tunis");
      awaitSeen(second, third, 3);
      first.announce(false, 0);
      for (int i = 0; i < REQUESTS_THAT_EARN; i++) {
        getAsync(second, "earn-" + i).join();
      }
      link.silence();
      List<CompletableFuture<String>> answers =
          IntStream.range(0, REQUESTS).mapToObj(i -> getAsync(second, "silent-" + i)).toList();
      await()
          .atMost(WAIT)
          .until(() -> second.callOnLoop(() -> second.node.entry().open()) == REQUESTS);
      third.announce(false, 0);
      assertThat(answers)
          .allSatisfy(answer -> assertThat(answer.join()).startsWith("HTTP/1.1 200"));
    }
  }

  private static CompletableFuture<String> getAsync(MeshFixture.Member entry, String id) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return MeshFixture.get(entry, "/a/", id);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  @Test
  void nodeThatKnowsOneOtherDiscoversAllFromIt() {
    MeshFixture.Member first = mesh.add("tunis");
    MeshFixture.Member second = mesh.add("sfax");
    MeshFixture.Member third = mesh.addKnowing("sousse", second.node.mesh().self());
    await().atMost(WAIT).until(() -> third.callOnLoop(() -> third.node.mesh().aliveCount()) == 2);
    await().atMost(WAIT).until(() -> first.callOnLoop(() -> first.node.mesh().aliveCount()) == 2);
    assertThat(third.callOnLoop(third.node::ready)).isTrue();
  }

  private static long pings(MeshFixture.Member member) {
    return member.callOnLoop(() -> member.node.mesh().pings());
  }

  private static void awaitSeen(
      MeshFixture.Member one, MeshFixture.Member other, int nodesEachKnows) {
    for (MeshFixture.Member member : List.of(one, other)) {
      await()
          .atMost(WAIT)
          .until(
              () -> member.callOnLoop(() -> member.node.mesh().aliveCount()) == nodesEachKnows - 1);
    }
  }
}
