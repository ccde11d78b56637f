package io.hemlockbend.testkit.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.testkit.upstream.UpstreamFaults;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MeshFaultsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final ServiceName COUNTER = new ServiceName("counter");
  private static final VersionKey V1 = new VersionKey(COUNTER, new VersionName("v1"));
  private static final int MAX_CRASHES = 3;
  private static final int EXTRA_SERVICE_MILLIS = 80;
  private static final int CALLERS = 12;

  private final HttpClient caller = HttpClient.newHttpClient();
  private EmbeddedMesh mesh;

  @BeforeEach
  void startMesh() {
    mesh =
        EmbeddedMesh.start(
            List.of(spec("c1", "prai"), spec("c2", "prai"), spec("c3", "ipoh"), spec("c4", "ipoh")),
            "",
            1);
    await().atMost(TIMEOUT).until(mesh::settled);
    try (MeshOperator operator = new MeshOperator(mesh)) {
      VersionMark mark =
          operator.commit(
              new Change.AddVersion(V1, new TeamName("counter")),
              new Change.PutRoute(
                  new Route(new RouteName("counter"), "/counter", COUNTER, Priority.NORMAL)));
      await().atMost(TIMEOUT).until(() -> mesh.inForceEverywhere(mark.version()));
    }
  }

  @AfterEach
  void stopMesh() {
    mesh.close();
  }

  @Test
  void gracefulStopOfANodeInterruptsNoRequest() throws Exception {
    ConcurrentLinkedQueue<Integer> statuses = new ConcurrentLinkedQueue<>();
    AtomicBoolean stop = new AtomicBoolean();
    Runnable calls =
        () -> {
          while (!stop.get()) {
            statuses.add(reserve(mesh.entry(0)));
            statuses.add(reserve(mesh.entry(3)));
          }
        };
    List<Thread> callers =
        IntStream.range(0, CALLERS).mapToObj(i -> Thread.ofVirtual().start(calls)).toList();
    mesh.members().forEach(m -> m.upstream().faults(UpstreamFaults.slow(EXTRA_SERVICE_MILLIS)));
    await().atMost(TIMEOUT).until(() -> statuses.size() > 50);
    mesh.members().get(2).node().close();
    int after = statuses.size();
    await().atMost(TIMEOUT).until(() -> statuses.size() > after + 50);
    stop.set(true);
    for (Thread thread : callers) {
      thread.join();
    }
    assertThat(statuses).containsOnly(200);
  }

  @Test
  void requestThatCrashesUpstreamsIsQuarantinedMeshWide() {
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              int index = (int) (System.nanoTime() % 2);
              return crash(mesh.entry(index)).headers().firstValue("Hemlockbend-Reason");
            },
            reason -> reason.filter("quarantined"::equals).isPresent());
    long crashed = mesh.members().stream().filter(m -> m.ledger().runs() > 0).count();
    assertThat(crashed).isBetween(1L, (long) MAX_CRASHES);
  }

  /**
   * A caller that resends at once, through an entry that saw none of the crashes and prefers other
   * upstreams, those of its failure domain.
   */
  @Test
  void crashingRequestIsKnownToTheOtherEntryOnTheFirstResend() {
    crash(mesh.entry(0));
    crash(mesh.entry(3));
    long crashed = mesh.members().stream().filter(m -> m.ledger().runs() > 0).count();
    assertThat(crashed).isBetween(1L, (long) MAX_CRASHES);
  }

  @Test
  void silentConnectionsAreReplaced() {
    for (int i = 0; i < 20; i++) {
      status(mesh.entry(i % 4), "/counter/" + i);
    }
    mesh.members().forEach(m -> m.upstream().faults(UpstreamFaults.silent()));
    await().atMost(TIMEOUT).until(() -> status(mesh.entry(0), "/counter/9") == 200);
    mesh.members().forEach(m -> m.upstream().faults(UpstreamFaults.NONE));
  }

  @Test
  void malformedInputGetsAnErrorAndTheNodeKeepsServing() throws Exception {
    int port = mesh.members().getFirst().node().callerPort();
    assertThat(sendRaw(port, "NONSENSE\r\n\r\n")).contains("400");
    assertThat(sendRaw(port, "GET /counter HTTP/1.1\r\nHost: x\r\nA: " + "b".repeat(20_000)))
        .contains("431");
    assertThat(
            sendRaw(
                port,
                "GET /counter HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                    + "Hemlockbend-Deadline-Millis: soon\r\n\r\n"))
        .contains("400", "bad-request");
    int control = mesh.members().getFirst().node().controlPort();
    sendRaw(control, "\u007f\u007f\u007f\u007fgarbage");
    assertThat(status(mesh.entry(0), "/counter/1")).isEqualTo(200);
  }

  private static UpstreamSpec spec(String name, String domain) {
    return new UpstreamSpec(name, domain, "counter", "v1", 12, 1);
  }

  private static String sendRaw(int port, String text) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.shutdownOutput();
      try (InputStream in = socket.getInputStream()) {
        return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      }
    }
  }

  private HttpResponse<String> crash(URI entry) {
    return send(
        HttpRequest.newBuilder(entry.resolve("/counter/crash"))
            .header("Hemlockbend-Request-Id", "crashing-request")
            .header("X-Crash", "true")
            .build());
  }

  /** Sends a request that is never retried, so that an interruption is visible. */
  private int reserve(URI entry) {
    return send(HttpRequest.newBuilder(entry.resolve("/counter/reserve"))
            .POST(HttpRequest.BodyPublishers.ofString("mirror"))
            .build())
        .statusCode();
  }

  private int status(URI entry, String path) {
    return send(HttpRequest.newBuilder(entry.resolve(path)).build()).statusCode();
  }

  private HttpResponse<String> send(HttpRequest request) {
    try {
      return caller.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new IllegalStateException("connection failed during a request", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
