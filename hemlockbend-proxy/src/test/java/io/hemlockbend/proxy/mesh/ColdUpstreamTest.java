package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.proxy.RawServer;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** An upstream becomes cold while its node knows it as warm. */
class ColdUpstreamTest {
  /** Longer than the test, however busy the machine is. */
  private static final long COLD_MILLIS = 60_000;

  /** The declared rate of a cold upstream in {@link MeshFixture}. */
  private static final int PER_SECOND = 32;

  private static final Duration WAIT = Duration.ofSeconds(10);

  private final List<Long> ranMillis = new CopyOnWriteArrayList<>();
  private final MeshFixture mesh = new MeshFixture();

  @AfterEach
  void close() throws Exception {
    mesh.close();
  }

  /** The announcement was sent before the upstream became cold, which a health check has shown. */
  @Test
  void lateAnnouncementDoesNotEndTheRateLimit() throws Exception {
    MeshFixture.Member first = mesh.add("tunis", this::answerCold);
    first.announce(false, 0);
    first.orders(1, Set.of(new FailureDomain("tunis")));
    first.orders(2, Set.of());
    await()
        .atMost(WAIT)
        .untilAsserted(
            () -> assertThat(MeshFixture.get(first, "/a/", "q")).startsWith("HTTP/1.1 200"));
    for (int i = 0; i < 60; i++) {
      first.announce(false, 0);
      MeshFixture.get(first, "/a/", "q" + i);
    }
    assertThat(ranMillis.size()).isGreaterThanOrEqualTo(20);
    for (long from : ranMillis) {
      long inSecond = ranMillis.stream().filter(at -> at >= from && at < from + 1_000).count();
      assertThat(inSecond).isLessThanOrEqualTo(PER_SECOND);
    }
  }

  private void answerCold(Socket socket) throws IOException {
    for (String id = RawServer.readRequestId(socket);
        id != null;
        id = RawServer.readRequestId(socket)) {
      if (!id.isEmpty()) {
        ranMillis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
      }
      RawServer.write(
          socket,
          "HTTP/1.1 200 OK\r\nId: "
              + id
              + "\r\nSeal: s\r\nCold: "
              + COLD_MILLIS
              + "\r\nContent-Length: 0\r\n\r\n");
    }
  }
}
