package io.hemlockbend.testkit.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.codec.AnnouncementBody;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.testkit.http.BlockingServer;
import io.hemlockbend.testkit.http.Headers;
import io.hemlockbend.testkit.upstream.UpstreamSettings.ColdLimit;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UpstreamServerTest {
  private static final UpstreamSettings SETTINGS = UpstreamSettings.basic("u1", "quotes", "v1");
  private static final long HOUR_MILLIS = 3_600_000;
  private static final long DRAIN_TIMEOUT_MILLIS = 30_000;

  private final HttpClient client = new HttpClient();
  private final JsonCodec codec = new JsonCodec();
  private final RunLedger ledger = new RunLedger();

  @BeforeEach
  void start() throws Exception {
    client.start();
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
  }

  private Request request(UpstreamServer server, String path) {
    return client.newRequest(server.uri().resolve(path));
  }

  private Request keyed(UpstreamServer server, String key) {
    return request(server, "/book").method("POST").headers(h -> h.put("Idempotency-Key", key));
  }

  @Test
  void answersEchoTheRequestAndCountRunsByKey() throws Exception {
    try (UpstreamServer server = new UpstreamServer(SETTINGS, ledger)) {
      keyed(server, "k1").send();
      keyed(server, "k2").send();
      ContentResponse second =
          keyed(server, "k1").headers(h -> h.put(Headers.REQUEST_ID, "r7")).send();
      UpstreamAnswer answer = codec.decode(second.getContent(), UpstreamAnswer.class);
      assertThat(answer.request()).contains("r7");
      assertThat(answer.runs()).isEqualTo(2);
      RunReport report =
          codec.decode(request(server, "/_runs").send().getContent(), RunReport.class);
      assertThat(report.listed()).containsExactly(new RunReport.KeyRuns("k1", 2));
      assertThat(report.runs()).isEqualTo(3);
    }
  }

  @Test
  void photoIsReproducibleFromItsSeed() throws Exception {
    try (UpstreamServer server = new UpstreamServer(SETTINGS, ledger)) {
      ContentResponse response = request(server, "/x/photo?bytes=100000&seed=5").send();
      assertThat(response.getContent()).isEqualTo(new Photo(100_000, 5).bytes());
      assertThat(response.getHeaders().get(Headers.CHECKSUM))
          .isEqualTo(Photo.checksum(response.getContent()));
    }
  }

  @Test
  void coldUpstreamFailsRequestsBeyondItsLimit() throws Exception {
    UpstreamSettings cold =
        SETTINGS.withServiceMillis(HOUR_MILLIS).withLimits(10, new ColdLimit(2, HOUR_MILLIS));
    Queue<TraceRecord> records = new ConcurrentLinkedQueue<>();
    try (UpstreamServer server = new UpstreamServer(cold, ledger, records::add, Optional.empty())) {
      new CompletableResponseListener(request(server, "/a")).send();
      new CompletableResponseListener(request(server, "/b")).send();
      await().until(() -> server.report(false).mostAtOnce() == 2);
      assertThat(request(server, "/c").send().getStatus()).isEqualTo(503);
      assertThat(server.report(false).coldOverloads()).isEqualTo(1);
      assertThat(ledger.runs()).isEqualTo(2);
      assertThat(records).hasAtLeastOneElementOfType(TraceRecord.ColdOverload.class).hasSize(3);
    }
  }

  @Test
  void faultsApplyOnlyToTheirPathPrefix() throws Exception {
    try (UpstreamServer server = new UpstreamServer(SETTINGS, ledger)) {
      byte[] faults = codec.encode(UpstreamFaults.failing(1000, "/bad"));
      request(server, "/_faults").method("POST").body(new BytesRequestContent(faults)).send();
      assertThat(request(server, "/bad/x").send().getStatus()).isEqualTo(500);
      assertThat(request(server, "/good").send().getStatus()).isEqualTo(200);
    }
  }

  @Test
  void truncatedAnswerFailsTheCall() {
    try (UpstreamServer server = new UpstreamServer(SETTINGS, ledger)) {
      server.faults(UpstreamFaults.truncating());
      assertThatThrownBy(() -> request(server, "/a").send()).isInstanceOf(ExecutionException.class);
    }
  }

  @Test
  void silencedConnectionTimesOutWhileNewOnesWork() throws Exception {
    try (UpstreamServer server = new UpstreamServer(SETTINGS, ledger)) {
      request(server, "/a").send();
      server.faults(UpstreamFaults.silent());
      Request onOldConnection = request(server, "/a").timeout(200, TimeUnit.MILLISECONDS);
      assertThatThrownBy(onOldConnection::send).isInstanceOf(TimeoutException.class);
      assertThat(ledger.runs()).isEqualTo(1);
      assertThat(request(server, "/a").send().getStatus()).isEqualTo(200);
    }
  }

  @Test
  void crashClosesConnectionAndListener() {
    UpstreamServer server = new UpstreamServer(SETTINGS, ledger);
    Request crashing = keyed(server, "k").headers(h -> h.put(Headers.CRASH, "true"));
    assertThatThrownBy(crashing::send).isInstanceOf(ExecutionException.class);
    assertThatThrownBy(() -> request(server, "/a").send()).isInstanceOf(ExecutionException.class);
    assertThat(ledger.keysRun(1)).containsExactly(new RunReport.KeyRuns("k", 1));
  }

  @Test
  void drainIsAnnouncedAndWaitsForRequestsInFlight() throws Exception {
    List<AnnouncementBody> announced = new CopyOnWriteArrayList<>();
    CountDownLatch draining = new CountDownLatch(1);
    try (BlockingServer node =
            new BlockingServer(
                "127.0.0.1",
                0,
                exchange -> {
                  announced.add(codec.decode(exchange.body(), AnnouncementBody.class));
                  if (announced.getLast().state() == EndpointState.DRAINING) {
                    draining.countDown();
                  }
                  exchange.reply(204);
                });
        UpstreamServer server =
            new UpstreamServer(
                SETTINGS.withServiceMillis(500).withAnnounceUri(node.uri()), ledger)) {
      await().until(() -> !announced.isEmpty());
      CompletableFuture<ContentResponse> inFlight =
          new CompletableResponseListener(request(server, "/a")).send();
      await().until(() -> ledger.runs() == 1);
      assertThat(server.drain(DRAIN_TIMEOUT_MILLIS)).isTrue();
      assertThat(inFlight.join().getStatus()).isEqualTo(200);
      assertThat(draining.getCount()).isZero();
      assertThat(announced.getFirst().port()).isEqualTo(server.uri().getPort());
    }
  }
}
