package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.proxy.RawServer;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpField;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
  /** Service time; with the pause, longer than the 50 ms between two checks of a stopping node. */
  private static final long WORK_MILLIS = 45;

  /** Shorter than that interval, so that a request may follow a check that found none. */
  private static final long PAUSE_MILLIS = 15;

  /** How long the process is assumed to live on after the node has stopped. */
  private static final long EXIT_MILLIS = 300;

  /** Service time of requests that are in flight at any time of the grace. */
  private static final long LONG_WORK_MILLIS = 700;

  private final MeshFixture mesh = new MeshFixture();

  @AfterEach
  void close() throws Exception {
    mesh.close();
  }

  /** A request that arrived between the last check and the process exit was read and then lost. */
  @Test
  void stoppedNodeHasNoRequestInFlightAndReadsNoMore() throws Exception {
    MeshFixture.Member node = mesh.add("tunis", this::work);
    node.announce(false, 0);
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicBoolean busy = new AtomicBoolean();
    AtomicLong ranAtStop = new AtomicLong();
    AtomicBoolean done = new AtomicBoolean();
    Set<String> lost = ConcurrentHashMap.newKeySet();
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      callers.submit(() -> sendRequests(node, done, lost));
      node.runOnLoop(
          () ->
              node.node.stop(
                  () -> {
                    busy.set(node.node.busy());
                    ranAtStop.set(mesh.ran.size());
                    stopped.countDown();
                  }));
      assertThat(stopped.await(MeshFixture.GRACE_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      Thread.sleep(EXIT_MILLIS);
      done.set(true);
    }
    assertThat(busy).isFalse();
    assertThat(mesh.ran.size()).isEqualTo((int) ranAtStop.get());
    assertThat(lost).isEmpty();
  }

  /** Another node that has not heard of the stop yet sends a request that outlasts the grace. */
  @Test
  void requestOfAnotherNodeThatOutlastsTheGraceIsRefusedAsNotRun() throws Exception {
    MeshFixture.Member stopping = mesh.add("tunis", this::work);
    MeshFixture.Member other = mesh.add("tunis");
    stopping.announce(false, 0);
    NodeId node = stopping.node.mesh().self().node();
    await()
        .atMost(Duration.ofSeconds(10))
        .until(() -> other.callOnLoop(() -> other.node.mesh().alive(node)));
    stopping.runOnLoop(() -> stopping.node.stop(() -> {}));
    CompletableFuture<RunEnd> inTime = send(other, node, stopping.id, MeshFixture.GRACE_MILLIS / 2);
    CompletableFuture<RunEnd> late = send(other, node, stopping.id, MeshFixture.GRACE_MILLIS);
    assertThat(late.get(10, TimeUnit.SECONDS)).isEqualTo(new RunEnd.NotRun("stopping"));
    assertThat(inTime.get(10, TimeUnit.SECONDS)).isInstanceOf(RunEnd.Answered.class);
  }

  /** Requests that come until the end of the grace are answered or refused, never cut. */
  @Test
  void requestsLateInTheGraceAreAnswered() throws Exception {
    MeshFixture.Member node = mesh.add("tunis", this::workLong);
    node.announce(false, 0);
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicBoolean done = new AtomicBoolean();
    Set<String> lost = ConcurrentHashMap.newKeySet();
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      node.runOnLoop(() -> node.node.stop(stopped::countDown));
      for (int caller = 0; caller < 4; caller++) {
        callers.submit(() -> sendRequests(node, done, lost));
      }
      assertThat(stopped.await(MeshFixture.GRACE_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      Thread.sleep(EXIT_MILLIS);
      done.set(true);
    }
    assertThat(lost).isEmpty();
    assertThat(mesh.ran).hasSizeGreaterThan(4);
  }

  private static CompletableFuture<RunEnd> send(
      MeshFixture.Member from, NodeId to, UpstreamId upstream, long remainingMillis) {
    CompletableFuture<RunEnd> end = new CompletableFuture<>();
    RunRequest run =
        new RunRequest(
            "q" + remainingMillis,
            "r1",
            new VersionKey(MeshFixture.SERVICE, MeshFixture.V1),
            upstream,
            1,
            false,
            remainingMillis,
            remainingMillis,
            false,
            new HttpRequest(
                "GET", "/a/", List.of(new HttpField("Id", "q" + remainingMillis)), new byte[0]));
    from.runOnLoop(() -> from.node.mesh().run(peer(from, to), run, end::complete));
    return end;
  }

  private static Peer peer(MeshFixture.Member member, NodeId node) {
    return member.node.mesh().peers().stream()
        .filter(peer -> peer.info.node().equals(node))
        .findFirst()
        .orElseThrow();
  }

  private void workLong(Socket socket) throws IOException {
    for (RawServer.Request request = RawServer.readRequest(socket);
        request != null;
        request = RawServer.readRequest(socket)) {
      mesh.ran.add(request.id());
      try {
        Thread.sleep(LONG_WORK_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      RawServer.write(
          socket,
          "HTTP/1.1 200 OK\r\nId: " + request.id() + "\r\nSeal: s\r\nContent-Length: 0\r\n\r\n");
    }
  }

  private void work(Socket socket) throws IOException {
    for (RawServer.Request request = RawServer.readRequest(socket);
        request != null;
        request = RawServer.readRequest(socket)) {
      mesh.ran.add(request.id());
      try {
        Thread.sleep(WORK_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      RawServer.write(
          socket,
          "HTTP/1.1 200 OK\r\nId: " + request.id() + "\r\nSeal: s\r\nContent-Length: 0\r\n\r\n");
    }
  }

  /** Opens a connection per request, because a stopping node closes them after a response. */
  private Void sendRequests(MeshFixture.Member node, AtomicBoolean done, Set<String> lost)
      throws InterruptedException {
    for (int sent = 0; !done.get(); sent++) {
      String id = "c" + sent;
      try (Socket socket = new Socket(node.callers.getAddress(), node.callers.getPort())) {
        Thread.sleep(PAUSE_MILLIS);
        RawServer.write(socket, "GET /a/ HTTP/1.1\r\nHost: shop\r\nId: " + id + "\r\n\r\n");
        boolean answered = socket.getInputStream().read() >= 0;
        if (!answered && mesh.ran.contains(id)) {
          lost.add(id);
        }
      } catch (IOException e) {
        Thread.sleep(PAUSE_MILLIS);
      }
    }
    return null;
  }
}
