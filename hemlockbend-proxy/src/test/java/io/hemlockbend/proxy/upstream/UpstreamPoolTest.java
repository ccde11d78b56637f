package io.hemlockbend.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.transfer.PartialMessageBudget;
import io.hemlockbend.proxy.RawServer;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.loop.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpField;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamPoolTest {
  private static final int WAIT_SECONDS = 10;
  private static final long READ_MILLIS = 100;

  private final EventLoop loop = new EventLoop();

  @BeforeEach
  void start() {
    loop.start();
  }

  @AfterEach
  void stop() {
    loop.close();
  }

  @Test
  void reusesConnectionAfterCompleteAnswer() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              for (String id = RawServer.readRequestId(socket);
                  id != null;
                  id = RawServer.readRequestId(socket)) {
                RawServer.write(socket, answer(id, "whole-" + id));
              }
            })) {
      UpstreamPool pool = pool(server.address());
      assertThat(call(pool, "1")).isEqualTo("200 whole-1");
      assertThat(call(pool, "2")).isEqualTo("200 whole-2");
      assertThat(server.accepted()).isEqualTo(1);
    }
  }

  @Test
  void discardsAnswerToAnotherRequest() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              String id = RawServer.readRequestId(socket);
              RawServer.write(socket, answer("earlier", "wrong") + answer(id, "right"));
              RawServer.readRequestId(socket);
            })) {
      assertThat(call(pool(server.address()), "1")).isEqualTo("200 right");
    }
  }

  /** A refusal says that the request has not run; one of another request must never be believed. */
  @ParameterizedTest
  @ValueSource(strings = {"Id: 1\r\n", ""})
  void discardsRepeatedRefusalOfAnEarlierRequest(String idLine) throws Exception {
    String refusal =
        "HTTP/1.1 503 Full\r\n" + idLine + "Not-Run: true\r\nContent-Length: 0\r\n\r\n";
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.write(socket, answer(RawServer.readRequestId(socket), "first"));
              String id = RawServer.readRequestId(socket);
              RawServer.write(socket, refusal + answer(id, "right"));
              RawServer.readRequestId(socket);
            })) {
      UpstreamPool pool = pool(server.address());
      assertThat(call(pool, "1")).isEqualTo("200 first");
      assertThat(call(pool, "2")).isEqualTo("200 right");
      assertThat(server.accepted()).isEqualTo(1);
    }
  }

  @Test
  void doesNotReuseConnectionAfterUnsolicitedAnswer() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              String id = RawServer.readRequestId(socket);
              RawServer.write(socket, answer(id, "one") + answer(id, "two"));
              RawServer.readRequestId(socket);
            })) {
      UpstreamPool pool = pool(server.address());
      assertThat(call(pool, "1")).isEqualTo("200 one");
      assertThat(call(pool, "2")).isEqualTo("200 one");
      assertThat(server.accepted()).isEqualTo(2);
    }
  }

  @Test
  void truncatedAnswerIsLost() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              String id = RawServer.readRequestId(socket);
              RawServer.write(
                  socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 9\r\n\r\nfour");
            })) {
      assertThat(call(pool(server.address()), "1")).startsWith("lost answer broke off");
    }
  }

  @Test
  void malformedAnswerIsLost() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readRequestId(socket);
              RawServer.write(socket, "\u0001\u0002 nonsense\r\n\r\n");
            })) {
      assertThat(call(pool(server.address()), "1")).startsWith("lost");
    }
  }

  @Test
  void answerWithoutLengthEndsWhenConnectionCloses() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              String id = RawServer.readRequestId(socket);
              RawServer.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nto the end");
            })) {
      assertThat(call(pool(server.address()), "1")).isEqualTo("200 to the end");
    }
  }

  @Test
  void answerWithoutLengthIsLostWhenItsConnectionIsReset() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              String id = RawServer.readRequestId(socket);
              RawServer.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\ncut of");
              waitForLoopToRead();
              socket.setSoLinger(true, 0);
            })) {
      assertThat(call(pool(server.address()), "1")).startsWith("lost answer broke off");
    }
  }

  @Test
  void requestIsNotSentWhenConnectionIsRefused() throws Exception {
    InetSocketAddress closed;
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closed = new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }
    assertThat(call(pool(closed), "1")).startsWith("not sent");
  }

  @Test
  void cancelledCallClosesItsConnection() throws Exception {
    CompletableFuture<String> ended = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readRequestId(socket);
              ended.complete(String.valueOf(RawServer.readRequestId(socket)));
            })) {
      UpstreamPool pool = pool(server.address());
      loop.execute(
          () -> {
            UpstreamPool.Call call =
                pool.call(request("1"), Long.MAX_VALUE, new Outcome(new CompletableFuture<>()));
            loop.after(100, call::cancel);
          });
      assertThat(ended.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("null");
    }
  }

  /** Gives the loop time to read the answer: a reset discards unread bytes. */
  private void waitForLoopToRead() {
    CompletableFuture<Void> read = new CompletableFuture<>();
    loop.execute(() -> loop.after(READ_MILLIS, () -> read.complete(null)));
    read.join();
  }

  private UpstreamPool pool(InetSocketAddress address) {
    return new UpstreamPool(loop, address, "Id", new PartialMessageBudget<>(1_000_000));
  }

  private String call(UpstreamPool pool, String id) throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    loop.execute(() -> pool.call(request(id), Long.MAX_VALUE, new Outcome(result)));
    return result.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  private static HttpRequest request(String id) {
    List<HttpField> fields = List.of(new HttpField("Host", "up"), new HttpField("Id", id));
    return new HttpRequest("GET", "/", fields, new byte[0]);
  }

  private static String answer(String id, String body) {
    return "HTTP/1.1 200 OK\r\nId: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private record Outcome(CompletableFuture<String> result) implements UpstreamPool.Listener {
    @Override
    public void answered(HttpReply reply) {
      result.complete(reply.status() + " " + new String(reply.body(), StandardCharsets.US_ASCII));
    }

    @Override
    public void notSent(String reason) {
      result.complete("not sent " + reason);
    }

    @Override
    public void lost(String reason) {
      result.complete("lost " + reason);
    }
  }
}
