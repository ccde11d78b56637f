package io.hemlockbend.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.traffic.ColdAllowance;
import io.hemlockbend.core.traffic.TrafficService;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.RawServer;
import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpField;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LocalUpstreamTest {
  private static final ServiceName SERVICE = new ServiceName("quotes");
  private static final FieldNames NAMES =
      new FieldNames("Id", "Deadline", "Seal", "Expected", "Not-Run", "Caller", "Up", "Cold");

  private final EventLoop loop = new EventLoop();
  private final InetSocketAddress address =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
  private final List<Suspicion> suspected = new CopyOnWriteArrayList<>();
  private final LocalUpstream upstream = upstream(address);

  @AfterEach
  void stop() {
    loop.close();
  }

  /** A restarted node may know its upstream, and be asked by other nodes, before it knows rates. */
  @Test
  void coldUpstreamGetsNothingBeforeItsRateIsKnown() {
    loop.start();
    callOnLoop(() -> upstream.applyAnnouncement(announcement(3_000)));
    assertThat(callOnLoop(upstream::load).limit()).isZero();
    assertThat(callOnLoop(upstream::closedReason)).isEqualTo("cold-rate-unknown");
    loop.execute(() -> upstream.configure(new TrafficService(SERVICE, "/health", 100, 3_000, 32)));
    assertThat(callOnLoop(upstream::load).limit()).isPositive();
    assertThat(callOnLoop(upstream::closedReason)).isNull();
  }

  @Test
  void warmUpstreamNeedsNoRate() {
    loop.start();
    callOnLoop(() -> upstream.applyAnnouncement(announcement(0)));
    assertThat(callOnLoop(upstream::closedReason)).isNull();
  }

  /** The check is answered after the failure domain was restored, with what was true before. */
  @Test
  void healthCheckSentBeforeTheLastDoubtDoesNotCount() throws Exception {
    loop.start();
    AtomicInteger checks = new AtomicInteger();
    try (RawServer health = new RawServer(socket -> answerChecks(socket, checks))) {
      LocalUpstream checked = upstream(health.address());
      callOnLoop(() -> checked.applyAnnouncement(announcement(health.address(), 3)));
      for (int restored = 0; restored < 2; restored++) {
        loop.execute(() -> checked.updateDomainWithdrawn(true));
        loop.execute(() -> checked.updateDomainWithdrawn(false));
      }
      await()
          .atMost(Duration.ofSeconds(10))
          .until(() -> callOnLoop(checked::state) == UpstreamState.UP);
      assertThat(callOnLoop(checked::closedReason)).isEqualTo("cold-rate-unknown");
    }
  }

  private static void answerChecks(Socket socket, AtomicInteger checks) throws IOException {
    while (RawServer.readRequest(socket) != null) {
      boolean first = checks.incrementAndGet() == 1;
      LockSupport.parkNanos(first ? TimeUnit.MILLISECONDS.toNanos(400) : 0);
      RawServer.write(
          socket,
          "HTTP/1.1 200 OK\r\nCold: " + (first ? 0 : 60_000) + "\r\nContent-Length: 0\r\n\r\n");
    }
  }

  /** The only request of a service crashes its upstreams and comes again. */
  @Test
  void crashIsReportedWhenANewProcessAnnouncesItself() throws Exception {
    loop.start();
    try (RawServer crashing = new RawServer(RawServer::readRequest)) {
      LocalUpstream crashed = upstream(crashing.address());
      callOnLoop(() -> crashed.applyAnnouncement(announcement(crashing.address(), 3)));
      CompletableFuture<RunEnd> end = new CompletableFuture<>();
      loop.execute(() -> crashed.run(request(), end::complete));
      assertThat(end.join()).isInstanceOf(RunEnd.Lost.class);
      assertThat(suspected).isEmpty();
      callOnLoop(() -> crashed.applyAnnouncement(announcement(crashing.address(), 4)));
      assertThat(suspected).hasSize(1);
    }
  }

  @Test
  void upstreamThatLeftIsReplacedWithoutACrash() throws Exception {
    loop.start();
    try (RawServer crashing = new RawServer(RawServer::readRequest)) {
      LocalUpstream left = upstream(crashing.address());
      UpstreamRecord before = announcement(crashing.address(), 3);
      callOnLoop(() -> left.applyAnnouncement(before));
      CompletableFuture<RunEnd> end = new CompletableFuture<>();
      loop.execute(() -> left.run(request(), end::complete));
      assertThat(end.join()).isInstanceOf(RunEnd.Lost.class);
      loop.execute(() -> left.deregister(before.process()));
      callOnLoop(() -> left.applyAnnouncement(announcement(crashing.address(), 4)));
      assertThat(suspected).isEmpty();
    }
  }

  private static RunRequest request() {
    return new RunRequest(
        "q1",
        "r1",
        new VersionKey(SERVICE, new VersionName("v1")),
        new UpstreamId("i-1"),
        1,
        true,
        1_000,
        1_000,
        false,
        new HttpRequest("GET", "/rare/poison", List.of(new HttpField("Id", "q1")), new byte[0]));
  }

  private UpstreamRecord announcement(long coldMillis) {
    return announcement(address, 3, coldMillis);
  }

  private static UpstreamRecord announcement(InetSocketAddress at, long startedMillis) {
    return announcement(at, startedMillis, 0);
  }

  private static UpstreamRecord announcement(
      InetSocketAddress at, long startedMillis, long coldMillis) {
    return new UpstreamRecord(
        new UpstreamId("i-1"),
        startedMillis,
        SERVICE,
        new VersionName("v1"),
        new FailureDomain("tunis"),
        at.getAddress().getHostAddress() + ":" + at.getPort(),
        9,
        false,
        coldMillis,
        1);
  }

  private LocalUpstream upstream(InetSocketAddress at) {
    return new LocalUpstream(
        loop,
        at,
        NAMES,
        ColdAllowance.NONE,
        DecisionSink.NONE,
        new CrashWatch(loop, suspected::addAll),
        () -> {},
        record -> CompletableFuture.completedFuture(null));
  }

  private <T> T callOnLoop(Supplier<T> query) {
    return CompletableFuture.supplyAsync(query, loop::execute).join();
  }
}
