package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.RawServer;
import io.hemlockbend.proxy.peer.NodeInfo;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class MeshNodeTest {
  /** Service time; with a call every {@link #CALL_PAUSE_MILLIS}, no slot is ever free. */
  private static final long SLOW_MILLIS = 700;

  /** Interval of calls; calls at this rate exceed the capacity of the four slots. */
  private static final long CALL_PAUSE_MILLIS = 60;

  /** Longer than the test, however busy the machine is. */
  private static final long COLD_MILLIS = 60_000;

  private static final Duration WAIT = Duration.ofSeconds(10);

  private final MeshFixture mesh = new MeshFixture();

  @AfterEach
  void close() throws Exception {
    mesh.close();
  }

  @Test
  void servesRequestsFromTheUpstreamOfAnotherNode() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    MeshFixture.Member second = mesh.add("sfax");
    second.announce(false, 0);
    awaitSeen(first, second);
    assertThat(MeshFixture.get(first, "/a/x", "q1")).startsWith("HTTP/1.1 200").endsWith("n2");
    assertThat(mesh.ran).containsExactly("q1@n2");
  }

  @Test
  void answers404WithoutRouteAnd503WithoutUpstream() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    assertThat(MeshFixture.get(first, "/nothing/", "q1")).startsWith("HTTP/1.1 404");
    assertThat(MeshFixture.get(first, "/a/", "q2"))
        .startsWith("HTTP/1.1 503")
        .contains("Retry-After: 0.");
  }

  @Test
  void sendsNothingToDrainingUpstream() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    first.announce(false, 0);
    assertThat(MeshFixture.get(first, "/a/", "q1")).startsWith("HTTP/1.1 200");
    first.announce(true, 0);
    assertThat(MeshFixture.get(first, "/a/", "q2")).startsWith("HTTP/1.1 503");
    assertThat(mesh.ran).containsExactly("q1@n1");
  }

  @Test
  void sendsNothingToWithdrawnDomainAndChecksRestoredUpstreamFirst() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    first.announce(false, 0);
    first.orders(1, Set.of(new FailureDomain("tunis")));
    assertThat(MeshFixture.get(first, "/a/", "q1")).startsWith("HTTP/1.1 503");
    first.orders(2, Set.of());
    await()
        .atMost(WAIT)
        .untilAsserted(
            () -> assertThat(MeshFixture.get(first, "/a/", "q2")).startsWith("HTTP/1.1 200"));
    assertThat(mesh.ran).first().isEqualTo("@n1");
  }

  @Test
  void retriesIdempotentRequestElsewhereAndRunsOthersOnce() throws Exception {
    MeshFixture.Member first = mesh.add("tunis", this::closeWithoutAnswer);
    MeshFixture.Member second = mesh.add("tunis");
    first.announce(false, 0);
    second.announce(false, 0);
    awaitSeen(first, second);
    for (int i = 0; i < 6; i++) {
      String answer = MeshFixture.get(second, "/once/", "once" + i);
      assertThat(answer)
          .satisfiesAnyOf(
              text -> assertThat(text).startsWith("HTTP/1.1 200"),
              text -> assertThat(text).startsWith("HTTP/1.1 502"));
    }
    long runs = mesh.ran.stream().filter(run -> run.startsWith("once")).distinct().count();
    assertThat(mesh.ran.stream().map(run -> run.split("@")[0]).filter(id -> id.startsWith("once")))
        .hasSize((int) runs)
        .doesNotHaveDuplicates();
    assertThat(MeshFixture.get(second, "/a/", "again")).startsWith("HTTP/1.1 200");
  }

  @Test
  void timedOutRequestEndsOnce() throws Exception {
    MeshFixture.Member first =
        mesh.add(
            "tunis",
            socket -> {
              RawServer.readRequestId(socket);
              RawServer.readRequestId(socket);
            });
    first.announce(false, 0);
    assertThat(MeshFixture.get(first, "/a/", "slow")).startsWith("HTTP/1.1 504");
    assertThat(first.callOnLoop(() -> first.node.entry().open())).isZero();
    assertThat(first.callOnLoop(() -> first.node.entry().counters().byStatus()))
        .containsOnly(Map.entry(504, 1L));
  }

  @Test
  void cancelsTheRunWhenItsCallerDisconnects() throws Exception {
    AtomicBoolean cancelled = new AtomicBoolean();
    MeshFixture.Member first = mesh.add("tunis");
    MeshFixture.Member second =
        mesh.add(
            "tunis",
            socket -> {
              mesh.ran.add(RawServer.readRequestId(socket));
              cancelled.set(RawServer.readRequestId(socket) == null);
            });
    second.announce(false, 0);
    awaitSeen(first, second);
    try (Socket caller = new Socket(first.callers.getAddress(), first.callers.getPort())) {
      RawServer.write(caller, "GET /a/ HTTP/1.1\r\nHost: shop\r\nId: gone\r\n\r\n");
      await().atMost(WAIT).until(() -> mesh.ran.contains("gone"));
    }
    await().atMost(Duration.ofMillis(500)).untilTrue(cancelled);
  }

  /** If too few other nodes are ready, callers keep using a stopping node and it is never idle. */
  @Test
  void stoppingNodeCompletesAllRequestsWhileNewOnesArrive() throws Exception {
    MeshFixture.Member first = mesh.add("tunis", this::answerSlowly);
    first.announce(false, 0);
    AtomicBoolean stopped = new AtomicBoolean();
    Map<String, String> answers = new ConcurrentHashMap<>();
    AtomicBoolean busyAtStop = new AtomicBoolean();
    first.runOnLoop(
        () ->
            first.node.stop(
                () -> {
                  busyAtStop.set(first.node.busy());
                  stopped.set(true);
                }));
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MeshFixture.GRACE_MILLIS);
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; !stopped.get() && System.nanoTime() < until; i++) {
        String id = "s" + i;
        callers.submit(() -> answers.put(id, MeshFixture.get(first, "/a/", id)));
        Thread.sleep(CALL_PAUSE_MILLIS);
      }
    }
    assertThat(stopped).isTrue();
    assertThat(busyAtStop).isFalse();
    assertThat(answers.values()).anyMatch(answer -> answer.startsWith("HTTP/1.1 200"));
    answers.forEach(
        (id, answer) -> {
          // The node may close a connection before it reads the request.
          boolean unread = answer.isEmpty() && !mesh.ran.contains(id);
          assertThat(unread || answer.matches("(?s)HTTP/1.1 (200|503).*")).as(id).isTrue();
        });
  }

  @Test
  void coldUpstreamIsRateLimitedInAnySecond() throws Exception {
    List<Long> ranMillis = new CopyOnWriteArrayList<>();
    MeshFixture.Member first =
        mesh.add(
            "tunis",
            socket -> {
              for (String id = RawServer.readRequestId(socket);
                  id != null;
                  id = RawServer.readRequestId(socket)) {
                ranMillis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
                RawServer.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nContent-Length: 0\r\n\r\n");
              }
            });
    first.announce(false, COLD_MILLIS);
    for (int i = 0; i < 60; i++) {
      MeshFixture.get(first, "/a/", "q" + i);
    }
    assertThat(ranMillis.size()).isGreaterThanOrEqualTo(20);
    for (long from : ranMillis) {
      long inSecond = ranMillis.stream().filter(at -> at >= from && at < from + 1_000).count();
      assertThat(inSecond).isLessThanOrEqualTo(32);
    }
  }

  @Test
  void retriesAfterLoadSheddingStayWithinTheRetryBudget() throws Exception {
    int requests = 100;
    MeshFixture.Member first = mesh.add("tunis", this::shed);
    MeshFixture.Member second = mesh.add("tunis", this::shed);
    first.announce(false, 0);
    second.announce(false, 0);
    awaitSeen(first, second);
    for (int i = 0; i < requests; i++) {
      assertThat(MeshFixture.get(first, "/a/", "q" + i)).startsWith("HTTP/1.1 503");
    }
    assertThat((double) mesh.ran.size() - requests)
        .isLessThanOrEqualTo(MeshFixture.RETRIES.ratio() * requests + MeshFixture.RETRIES.slack());
  }

  @Test
  void nodeThatIsBehindFetchesNewerDocuments() {
    MeshFixture.Member first = mesh.add("tunis");
    MeshFixture.Member second = mesh.add("sfax");
    second.runOnLoop(() -> second.node.updateConfiguration(new byte[] {9}));
    second.orders(5, Set.of(new FailureDomain("sfax")));
    await()
        .atMost(WAIT)
        .until(() -> first.callOnLoop(() -> first.node.configuration().version()) == 9L);
    await()
        .atMost(WAIT)
        .until(() -> first.callOnLoop(() -> first.node.orders().version()).number() == 5L);
  }

  /** Otherwise the node counts twice, and moves have no leader if its stale name sorts first. */
  @Test
  void nodeThatReusesAnAddressReplacesThePreviousNode() {
    MeshFixture.Member first = mesh.add("tunis");
    MeshFixture.Member second = mesh.add("sfax");
    NodeInfo now = second.node.mesh().self();
    NodeInfo before = new NodeInfo(new NodeId("n0"), now.ip(), now.port(), now.domain(), 1);
    first.runOnLoop(() -> first.node.mesh().addOrUpdate(before));
    await().atMost(WAIT).until(() -> first.callOnLoop(() -> first.node.mesh().alive(now.node())));
    await()
        .atMost(WAIT)
        .untilAsserted(
            () ->
                assertThat(first.callOnLoop(() -> first.node.mesh().knownNodes()))
                    .extracting(NodeInfo::node)
                    .containsExactly(first.node.mesh().self().node(), now.node()));
  }

  @Test
  void restoredUpstreamIsUsedOnceItsHealthCheckAnswers() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    UpstreamRecord saved = first.record(false, 0);
    first.runOnLoop(() -> first.node.upstream().restore(saved));
    await()
        .atMost(WAIT)
        .untilAsserted(
            () -> assertThat(MeshFixture.get(first, "/a/", "q2")).startsWith("HTTP/1.1 200"));
    assertThat(mesh.ran).first().isEqualTo("@n1");
  }

  @Test
  void isReadyOnceAnotherNodeHasSentTheNodeList() {
    MeshFixture.Member first = mesh.add("tunis");
    assertThat(first.callOnLoop(first.node::ready)).isFalse();
    mesh.add("sfax");
    await().atMost(WAIT).until(() -> first.callOnLoop(first.node::ready));
  }

  @Test
  void announcementOfAnotherServiceIsIgnored() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    first.announce(false, 0);
    UpstreamRecord own = first.record(false, 0);
    UpstreamRecord foreign =
        new UpstreamRecord(
            own.id(),
            own.startedMillis() + 1,
            new ServiceName("elsewhere"),
            own.version(),
            own.domain(),
            own.address(),
            own.slots(),
            false,
            0,
            own.sequence());
    first.runOnLoop(() -> assertThat(first.node.handleAnnouncement(foreign)).isFalse());
    assertThat(MeshFixture.get(first, "/a/", "q1")).startsWith("HTTP/1.1 200");
  }

  @Test
  void ignoresOlderConfiguration() {
    MeshFixture.Member first = mesh.add("tunis");
    first.runOnLoop(() -> first.node.updateConfiguration(new byte[] {5}));
    first.runOnLoop(() -> first.node.updateConfiguration(new byte[] {3}));
    assertThat(first.callOnLoop(() -> first.node.configuration().version())).isEqualTo(5L);
  }

  @Test
  void leavingNodeIsNotReadyAndStillServes() throws Exception {
    MeshFixture.Member first = mesh.add("tunis");
    first.announce(false, 0);
    first.runOnLoop(first.node::markPeersLoaded);
    assertThat(first.callOnLoop(first.node::ready)).isTrue();
    AtomicBoolean stopped = new AtomicBoolean();
    first.runOnLoop(() -> first.node.stop(() -> stopped.set(true)));
    assertThat(first.callOnLoop(first.node::ready)).isFalse();
    assertThat(MeshFixture.get(first, "/a/", "q1")).startsWith("HTTP/1.1 200");
    await().atMost(WAIT).untilTrue(stopped);
  }

  private void answerSlowly(Socket socket) throws java.io.IOException {
    for (String id = RawServer.readRequestId(socket);
        id != null;
        id = RawServer.readRequestId(socket)) {
      mesh.ran.add(id);
      try {
        Thread.sleep(SLOW_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      RawServer.write(
          socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nContent-Length: 0\r\n\r\n");
    }
  }

  private void shed(Socket socket) throws java.io.IOException {
    for (String id = RawServer.readRequestId(socket);
        id != null;
        id = RawServer.readRequestId(socket)) {
      mesh.ran.add(id);
      RawServer.write(
          socket, "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }
  }

  private void closeWithoutAnswer(Socket socket) throws java.io.IOException {
    mesh.ran.add(RawServer.readRequestId(socket) + "@broken");
  }

  private static void awaitSeen(MeshFixture.Member entry, MeshFixture.Member other) {
    await()
        .atMost(WAIT)
        .until(
            () ->
                entry.callOnLoop(
                    () ->
                        entry.node.mesh().peers().stream()
                            .anyMatch(
                                peer ->
                                    peer.info.node().equals(other.node.mesh().self().node())
                                        && peer.report != null
                                        && peer.report.upstream() != null
                                        && entry.node.mesh().alive(peer))));
  }
}
