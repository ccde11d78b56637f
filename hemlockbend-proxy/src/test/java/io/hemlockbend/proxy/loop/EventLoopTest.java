package io.hemlockbend.proxy.loop;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopTest {
  private static final int FILL_TIMEOUT_MILLIS = 200;
  private static final int MAX_FILLERS = 64;
  private static final int UNANSWERED_FILLERS = 3;
  private static final long WAIT_SECONDS = 10;

  /** Nodes keep dialing instances that are gone; unanswered attempts must not pile up. */
  @Test
  void connectTimesOutWhenPeerDoesNotAnswer() throws Exception {
    List<Socket> fillers = new ArrayList<>();
    try (EventLoop loop = new EventLoop();
        ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      fill(silent, fillers);
      loop.start();
      CompletableFuture<Throwable> failed = new CompletableFuture<>();
      loop.execute(
          () ->
              loop.connect(
                  new InetSocketAddress(silent.getInetAddress(), silent.getLocalPort()),
                  endPoint -> {
                    failed.completeExceptionally(new IllegalStateException("connected"));
                    return null;
                  },
                  failed::complete));
      assertThat(failed.get(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    } finally {
      for (Socket filler : fillers) {
        filler.close();
      }
    }
  }

  /** Fills the accept queue of the server, so that further connections are not answered. */
  private static void fill(ServerSocket silent, List<Socket> fillers) throws IOException {
    int unanswered = 0;
    for (int i = 0; i < MAX_FILLERS && unanswered < UNANSWERED_FILLERS; i++) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(silent.getLocalSocketAddress(), FILL_TIMEOUT_MILLIS);
      } catch (SocketTimeoutException e) {
        unanswered++;
      }
    }
    assertThat(unanswered).as("connections that were not answered").isEqualTo(UNANSWERED_FILLERS);
  }
}
