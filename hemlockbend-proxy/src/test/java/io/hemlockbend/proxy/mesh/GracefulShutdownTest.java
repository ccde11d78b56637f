package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.proxy.RawServer;
import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
  /** Service time; with the pause, longer than the 50 ms between two checks of a stopping node. */
  private static final long WORK_MILLIS = 45;

  /** Shorter than that interval, so that a request may follow a check that found none. */
  private static final long PAUSE_MILLIS = 15;

  /** How long the process is assumed to live on after the node has stopped. */
  private static final long EXIT_MILLIS = 300;

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
