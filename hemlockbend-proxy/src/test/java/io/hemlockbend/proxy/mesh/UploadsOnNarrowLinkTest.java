package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.transfer.IntakeSettings;
import io.hemlockbend.proxy.RawServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost uploads on a saturated link: uploads from many entries filled the link of the
 * node beside their upstream until pings on it went unanswered, and each upload in flight ended as
 * one that may have run.
 */
class UploadsOnNarrowLinkTest {
  private static final int ENTRIES = 6;
  private static final int UPLOADS_PER_ENTRY = 8;
  private static final int BODY_BYTES = 300_000;

  /** At this rate, all uploads together take four times their timeout. */
  private static final long BYTES_PER_SECOND =
      (long) ENTRIES * UPLOADS_PER_ENTRY * BODY_BYTES / 4 / (MeshFixture.UPLOAD_MILLIS / 1_000);

  private static final long LOOKUP_PAUSE_MILLIS = 50;
  private static final int LOOKUPS = 60;

  /** Half of what the link carries within the timeout; the rest is for other traffic. */
  private static final int MIN_UPLOADS = ENTRIES * UPLOADS_PER_ENTRY / 4 / 2;

  private static final Duration WAIT = Duration.ofSeconds(10);

  private final MeshFixture mesh = new MeshFixture();
  private NarrowLink link;

  @AfterEach
  void close() throws Exception {
    mesh.close();
    if (link != null) {
      link.close();
    }
  }

  @Test
  void uploadsBeyondLinkCapacityLeaveTheNodeReachableAndAreNeverLost() throws Exception {
    mesh.intake = IntakeSettings.ofLink(BYTES_PER_SECOND);
    MeshFixture.Member beside = mesh.add("tunis", this::answerAll);
    List<MeshFixture.Member> entries = behindNarrowLink(beside);
    beside.announce(false, 0);
    entries.forEach(entry -> awaitServes(entry));

    Map<String, String> uploads = new ConcurrentHashMap<>();
    List<String> lookups = new ArrayList<>();
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < ENTRIES * UPLOADS_PER_ENTRY; i++) {
        MeshFixture.Member entry = entries.get(i % ENTRIES);
        String id = "up" + i;
        callers.submit(() -> uploads.put(id, upload(entry, id)));
      }
      for (int i = 0; i < LOOKUPS; i++) {
        lookups.add(MeshFixture.get(entries.get(i % ENTRIES), "/a/x", "look" + i));
        Thread.sleep(LOOKUP_PAUSE_MILLIS);
      }
    }

    assertThat(uploads).hasSize(ENTRIES * UPLOADS_PER_ENTRY);
    uploads.forEach(
        (id, answer) -> {
          assertThat(answer).as(id).matches("(?s)HTTP/1.1 (200|503).*");
          assertThat(mesh.ran.contains(id)).as(id).isEqualTo(answer.startsWith("HTTP/1.1 200"));
        });
    assertThat(uploads.values().stream().filter(answer -> answer.startsWith("HTTP/1.1 200")))
        .hasSizeGreaterThanOrEqualTo(MIN_UPLOADS);
    assertThat(lookups).allSatisfy(answer -> assertThat(answer).startsWith("HTTP/1.1 200"));
  }

  private List<MeshFixture.Member> behindNarrowLink(MeshFixture.Member beside) throws IOException {
    InetSocketAddress peers = beside.node.mesh().self().address();
    link = new NarrowLink(peers, BYTES_PER_SECOND);
    List<MeshFixture.Member> entries = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(mesh.addBehind("sfax", beside, link.port()));
    }
    return entries;
  }

  private void answerAll(Socket socket) throws IOException {
    for (RawServer.Request request = RawServer.readRequest(socket);
        request != null;
        request = RawServer.readRequest(socket)) {
      mesh.ran.add(request.id());
      RawServer.write(
          socket,
          "HTTP/1.1 200 OK\r\nId: " + request.id() + "\r\nSeal: s\r\nContent-Length: 0\r\n\r\n");
    }
  }

  private static String upload(MeshFixture.Member entry, String id) throws IOException {
    try (Socket socket = new Socket(entry.callers.getAddress(), entry.callers.getPort())) {
      socket.setSoTimeout((int) WAIT.toMillis());
      RawServer.write(
          socket,
          "POST /up/x HTTP/1.1\r\nHost: shop\r\nId: "
              + id
              + "\r\nDeadline: "
              + MeshFixture.UPLOAD_MILLIS
              + "\r\nContent-Length: "
              + BODY_BYTES
              + "\r\nConnection: close\r\n\r\n");
      socket.getOutputStream().write(new byte[BODY_BYTES]);
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private static void awaitServes(MeshFixture.Member entry) {
    await()
        .atMost(WAIT)
        .untilAsserted(
            () -> assertThat(MeshFixture.get(entry, "/a/", "first")).startsWith("HTTP/1.1 200"));
  }
}
