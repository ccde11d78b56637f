package io.hemlockbend.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.transfer.PartialMessageBudget;
import io.hemlockbend.proxy.RawServer;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.loop.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpField;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that break off, at any byte, and are passed on as whole ones. */
class TruncatedAnswerTest {
  private static final int WAIT_SECONDS = 10;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nId: q\r\nSeal: s\r\n";

  private final EventLoop loop = new EventLoop();

  @BeforeEach
  void start() {
    loop.start();
  }

  @AfterEach
  void stop() {
    loop.close();
  }

  /** The last chunk ends a body; nothing of it can be missing in the trailers after that. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "Content-Length: 4\\r\\n\\r\\nabc|d",
        "Transfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nabcd\\r\\n0\\r|\\n\\r\\n",
        "Content-Length: 0\\r\\n\\r|\\n"
      })
  void answerThatBreaksOffIsLost(String part, String rest) throws Exception {
    String incomplete = HEAD + unescape(part);
    for (int length = 0; length <= incomplete.length(); length++) {
      assertThat(end(incomplete.substring(0, length)))
          .as("the first %d bytes", length)
          .startsWith("lost");
    }
    assertThat(end(incomplete + unescape(rest))).startsWith("200");
  }

  @Test
  void interimAnswerIsNotTheAnswer() throws Exception {
    assertThat(end("HTTP/1.1 103 Early Hints\r\nId: q\r\n\r\n")).startsWith("lost");
  }

  /** Without a length, only the end of the connection ends the body; the head must be whole. */
  @ParameterizedTest
  @ValueSource(strings = {HEAD + "\r\n", HEAD + "Connection: close\r\n\r\n"})
  void headThatBreaksOffIsLostThoughTheBodyHasNoLength(String head) throws Exception {
    for (int length = 0; length < head.length(); length++) {
      assertThat(end(head.substring(0, length)))
          .as("the first %d bytes", length)
          .startsWith("lost");
    }
    assertThat(end(head + "abcd")).isEqualTo("200 4");
  }

  private static String unescape(String text) {
    return text.replace("\\r", "\r").replace("\\n", "\n");
  }

  private String end(String answer) throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readRequest(socket);
              RawServer.write(socket, answer);
              socket.shutdownOutput();
              RawServer.readRequest(socket);
            })) {
      UpstreamPool pool =
          new UpstreamPool(loop, server.address(), "Id", new PartialMessageBudget<>(1_000_000));
      CompletableFuture<String> end = new CompletableFuture<>();
      HttpRequest request =
          new HttpRequest("GET", "/a", List.of(new HttpField("Id", "q")), new byte[0]);
      loop.execute(() -> pool.call(request, Long.MAX_VALUE, new EndListener(end)));
      return end.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private record EndListener(CompletableFuture<String> end) implements UpstreamPool.Listener {
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
  }
}
