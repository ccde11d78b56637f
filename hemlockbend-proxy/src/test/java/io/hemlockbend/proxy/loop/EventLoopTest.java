package io.hemlockbend.proxy.loop;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.proxy.http.LoopConnection;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

  @Test
  void failedTasksDoNotStopTheLoop() throws Exception {
    try (EventLoop loop = new EventLoop()) {
      loop.start();
      loop.execute(
          () -> {
            throw new IllegalStateException("a task that fails");
          });
      loop.execute(
          () -> {
            throw new StackOverflowError("a task that recurses");
          });
      loop.execute(
          () -> {
            throw new AssertionError("an error that is no error of the virtual machine");
          });
      assertRuns(loop);
    }
  }

  /** A process without its loop answers nothing and would stay so. */
  @Test
  void endOfTheThreadIsReported() throws Exception {
    CountDownLatch reported = new CountDownLatch(1);
    try (EventLoop loop = new EventLoop()) {
      loop.onUnexpectedEnd(cause -> reported.countDown());
      LoopExecutor executor = new LoopExecutor();
      executor.attach(loop);
      executor.execute(
          () -> {
            throw new OutOfMemoryError("expected by the test");
          });
      assertThat(reported.await(10, TimeUnit.SECONDS)).isTrue();
    }
  }

  @Test
  void endOfAClosedLoopIsNotReported() throws Exception {
    CountDownLatch reported = new CountDownLatch(1);
    EventLoop loop = new EventLoop();
    loop.onUnexpectedEnd(cause -> reported.countDown());
    loop.start();
    assertRuns(loop);
    loop.close();
    assertThat(reported.await(200, TimeUnit.MILLISECONDS)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void failureInAConnectionClosesItOnly(boolean error) throws Exception {
    try (EventLoop loop = new EventLoop()) {
      loop.start();
      InetSocketAddress address =
          CompletableFuture.supplyAsync(
                  () ->
                      loop.listen(
                          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                          endPoint -> new FailingConnection(endPoint, loop, error)),
                  loop::execute)
              .join();
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        socket.getOutputStream().write(1);
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
      }
      assertRuns(loop);
    }
  }

  private static void assertRuns(EventLoop loop) throws Exception {
    CompletableFuture<Boolean> ran = new CompletableFuture<>();
    loop.execute(() -> ran.complete(true));
    assertThat(ran.get(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
  }

  private static final class FailingConnection extends LoopConnection {
    private final boolean error;

    FailingConnection(EndPoint endPoint, EventLoop loop, boolean error) {
      super(endPoint, loop);
      this.error = error;
    }

    @Override
    protected void received(ByteBuffer bytes) {
      if (error) {
        throw new StackOverflowError("a message that recurses");
      }
      throw new IllegalStateException("an unexpected message");
    }

    @Override
    protected void inputEnded() {
      end(null);
    }

    @Override
    protected void ended(Throwable cause) {
      // Nothing is held.
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
