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

/** Guards against endless answers: they must neither fill the heap nor block the event loop. */
class EndlessAnswerTest {
  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final long MAX_PARTIAL_BYTES = 2_000_000;
  private static final int CHUNK_BYTES = 8 * 1024;

  /** Maximum timer lateness while endless answers are received; far below any deadline. */
  private static final long MAX_LATE_MILLIS = 250;

  /** The part of an answer that never ends. */
  enum EndlessAnswer {
    HEAD("HTTP/1.1 200 OK\r\n", "X-Filler: " + "x".repeat(CHUNK_BYTES) + "\r\n"),
    INTERIM_ANSWERS("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(200)),
    ANSWERS_TO_OTHER_REQUESTS(
        "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nab".repeat(150)),
    BODY_IN_CHUNKS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "2000\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n"),
    BODY_UNTIL_CLOSE("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(CHUNK_BYTES)),
    NO_HTTP("", "\0\1x".repeat(CHUNK_BYTES / 3)),
    BLANK_LINES("", "\r\n".repeat(CHUNK_BYTES / 2)),
    STATUS_LINE("HTTP/1.1 200 ", "x".repeat(CHUNK_BYTES)),
    FIELD_LINE("HTTP/1.1 200 OK\r\nX-Filler: ", "x".repeat(CHUNK_BYTES)),
    CHUNK_EXTENSION(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x".repeat(CHUNK_BYTES)),
    CHUNK_LENGTH("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0".repeat(CHUNK_BYTES)),
    TRAILERS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Filler: " + "x".repeat(CHUNK_BYTES) + "\r\n");

    private final String prefix;
    private final String repeated;

    EndlessAnswer(String prefix, String repeated) {
      this.prefix = prefix;
      this.repeated = repeated;
    }

    void write(Socket socket) throws IOException {
      RawServer.readRequest(socket);
      OutputStream out = socket.getOutputStream();
      out.write(prefix.getBytes(StandardCharsets.ISO_8859_1));
      byte[] bytes = repeated.getBytes(StandardCharsets.ISO_8859_1);
      while (true) {
        out.write(bytes);
      }
    }
  }

  private final EventLoop loop = new EventLoop();
  private final PartialMessageBudget<HttpClientConnection> answerBudget =
      new PartialMessageBudget<>(MAX_PARTIAL_BYTES);
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
  @EnumSource(EndlessAnswer.class)
  void endlessAnswerIsEndedWithinMemoryAndLatenessBounds(EndlessAnswer endless) throws Exception {
    try (RawServer server = new RawServer(endless::write)) {
      UpstreamPool pool = pool(server);
      recordLateness(loop.millis());
      List<CompletableFuture<String>> ends = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        ends.add(call(pool, "q" + i));
      }
      for (CompletableFuture<String> end : ends) {
        assertThat(end.get(WAIT.toSeconds(), TimeUnit.SECONDS)).startsWith("lost");
      }
      assertThat(onLoop(answerBudget::peakBytes)).isLessThanOrEqualTo(MAX_PARTIAL_BYTES);
      assertThat(onLoop(answerBudget::totalBytes)).isZero();
      assertThat(onLoop(() -> List.copyOf(lateness))).allMatch(late -> late <= MAX_LATE_MILLIS);
    }
  }

  /** At the limit, the answer with the most bytes is dropped, not the one that reached it. */
  @Test
  void answersOfUsualSizeCompleteBesideEndlessOnes() throws Exception {
    byte[] body = new byte[100_000];
    try (RawServer endless = new RawServer(EndlessAnswer.BODY_UNTIL_CLOSE::write);
        RawServer slow = new RawServer(socket -> answerSlowly(socket, body))) {
      UpstreamPool bad = pool(endless);
      UpstreamPool good = pool(slow);
      CompletableFuture<String> answer = call(good, "good");
      for (int i = 0; i < 8; i++) {
        call(bad, "bad" + i);
      }
      assertThat(answer.get(WAIT.toSeconds(), TimeUnit.SECONDS)).isEqualTo("200 " + body.length);
    }
  }

  private void recordLateness(long dueMillis) {
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
    return new UpstreamPool(loop, server.address(), "Id", answerBudget);
  }

  private <T> T onLoop(java.util.function.Supplier<T> supplier) {
    return CompletableFuture.supplyAsync(supplier, loop::execute).join();
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
