package io.hemlockbend.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.traffic.ColdAllowance;
import io.hemlockbend.core.traffic.TrafficService;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.loop.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LocalUpstreamTest {
  private static final ServiceName SERVICE = new ServiceName("quotes");
  private static final FieldNames NAMES =
      new FieldNames("Id", "Deadline", "Seal", "Expected", "Not-Run", "Caller", "Up", "Cold");

  private final EventLoop loop = new EventLoop();
  private final InetSocketAddress address =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
  private final LocalUpstream upstream =
      new LocalUpstream(
          loop,
          address,
          NAMES,
          ColdAllowance.NONE,
          DecisionSink.NONE,
          new CrashWatch(loop, reports -> {}),
          () -> {},
          record -> CompletableFuture.completedFuture(null));

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

  private UpstreamRecord announcement(long coldMillis) {
    return new UpstreamRecord(
        new UpstreamId("i-1"),
        3,
        SERVICE,
        new VersionName("v1"),
        new FailureDomain("tunis"),
        address.getAddress().getHostAddress() + ":" + address.getPort(),
        9,
        false,
        coldMillis,
        1);
  }

  private <T> T callOnLoop(Supplier<T> query) {
    return CompletableFuture.supplyAsync(query, loop::execute).join();
  }
}
