package io.hemlockbend.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.transfer.PartialMessageBudget;
import io.hemlockbend.proxy.RawServer;
import io.hemlockbend.proxy.http.HttpClientConnection;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.loop.EventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpField;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against answers without end: they must neither fill the heap nor stop the event loop. */
class EndlessAnswerTest {
  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final long MOST_BYTES = 2_000_000;
  private static final int PIECE_BYTES = 8 * 1024;

  /** How late a timer may be while answers without end come in; far below any deadline. */
  private static final long MOST_LATE_MILLIS = 250;

  /** What never ends. */
  enum Endless {
    HEAD("HTTP/1.1 200 OK\r\n", "X-Filler: " + "x".repeat(PIECE_BYTES) + "\r\n"),
    INTERIM_ANSWERS("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(200)),
    OTHERS_ANSWERS("", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nab".repeat(150)),
    BODY_IN_CHUNKS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "2000\r\n" + "x".repeat(PIECE_BYTES) + "\r\n"),
    BODY_UNTIL_CLOSE("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(PIECE_BYTES));

    private final String begin;
    private final String again;

    Endless(String begin, String again) {
      this.begin = begin;
      this.again = again;
    }

    void write(Socket socket) throws IOException {
      RawServer.readRequest(socket);
      OutputStream out = socket.getOutputStream();
      out.write(begin.getBytes(StandardCharsets.ISO_8859_1));
      byte[] bytes = again.getBytes(StandardCharsets.ISO_8859_1);
      while (true) {
        out.write(bytes);
      }
    }
  }

  private final EventLoop loop = new EventLoop();
  private final PartialMessageBudget<HttpClientConnection> held =
      new PartialMessageBudget<>(MOST_BYTES);
  private final List<Long> lateness = new ArrayList<>();

  @BeforeEach
  void start() {
    loop.start();
  }

  @AfterEach
  void stop() {
    loop.close();
  }

  @ParameterizedTest
  @EnumSource(Endless.class)
  void endsWithoutFillingTheHeapOrStoppingTheLoop(Endless endless) throws Exception {
    try (RawServer server = new RawServer(endless::write)) {
      UpstreamPool pool = pool(server);
      watchLateness(loop.millis());
      List<CompletableFuture<String>> ends = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        ends.add(call(pool, "q" + i));
      }
      for (CompletableFuture<String> end : ends) {
        assertThat(end.get(WAIT.toSeconds(), TimeUnit.SECONDS)).startsWith("lost");
      }
      assertThat(ask(held::peakBytes)).isLessThanOrEqualTo(MOST_BYTES);
      assertThat(ask(held::totalBytes)).isZero();
      assertThat(ask(() -> List.copyOf(lateness))).allMatch(late -> late <= MOST_LATE_MILLIS);
    }
  }

  /** The answer that holds most gives way, not the one that comes in when the bound is reached. */
  @Test
  void answersOfUsualSizeComeThroughBesideThem() throws Exception {
    byte[] body = new byte[100_000];
    try (RawServer endless = new RawServer(Endless.BODY_UNTIL_CLOSE::write);
        RawServer slow = new RawServer(socket -> answerSlowly(socket, body))) {
      UpstreamPool bad = pool(endless);
      UpstreamPool good = pool(slow);
      CompletableFuture<String> whole = call(good, "good");
      for (int i = 0; i < 8; i++) {
        call(bad, "bad" + i);
      }
      assertThat(whole.get(WAIT.toSeconds(), TimeUnit.SECONDS)).isEqualTo("200 " + body.length);
    }
  }

  private void watchLateness(long dueMillis) {
    loop.execute(() -> tick(dueMillis));
  }

  private void tick(long dueMillis) {
    long now = loop.millis();
    lateness.add(now - dueMillis);
    loop.after(10, () -> tick(now + 10));
  }

  private static void answerSlowly(Socket socket, byte[] body) throws IOException {
    String id = RawServer.readRequest(socket).id();
    RawServer.write(
        socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + body.length + "\r\n\r\n");
    for (int sent = 0; sent < body.length; sent += body.length / 10) {
      socket.getOutputStream().write(body, sent, body.length / 10);
      socket.getOutputStream().flush();
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        return;
      }
    }
    RawServer.readRequest(socket);
  }

  private UpstreamPool pool(RawServer server) {
    return new UpstreamPool(loop, server.address(), "Id", held);
  }

  private <T> T ask(java.util.function.Supplier<T> question) {
    return CompletableFuture.supplyAsync(question, loop::execute).join();
  }

  private CompletableFuture<String> call(UpstreamPool pool, String id) {
    CompletableFuture<String> end = new CompletableFuture<>();
    HttpRequest request =
        new HttpRequest("GET", "/a", List.of(new HttpField("Id", id)), new byte[0]);
    loop.execute(
        () ->
            pool.call(
                request,
                Long.MAX_VALUE,
                new UpstreamPool.Listener() {
                  @Override
                  public void answered(HttpReply reply) {
                    end.complete(reply.status() + " " + reply.body().length);
                  }

                  @Override
                  public void notSent(String reason) {
                    end.complete("not sent: " + reason);
                  }

                  @Override
                  public void lost(String reason) {
                    end.complete("lost: " + reason);
                  }
                }));
    return end;
  }
}
