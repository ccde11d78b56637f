package io.hemlockbend.proxy.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.traffic.CallerLimits;
import io.hemlockbend.proxy.loop.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpServerConnectionTest {
  private static final int WAIT_SECONDS = 10;
  private static final CallerLimits LIMITS = new CallerLimits(1_024, 100, 300, 400);

  private final EventLoop loop = new EventLoop();
  private final List<Exchange> exchanges = new CopyOnWriteArrayList<>();
  private volatile Consumer<Exchange> handler = exchanges::add;
  private volatile boolean draining;
  private InetSocketAddress address;

  @BeforeEach
  void start() {
    loop.start();
    address = CompletableFuture.supplyAsync(this::listen, loop::execute).join();
  }

  private InetSocketAddress listen() {
    return loop.listen(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        endPoint ->
            new HttpServerConnection(
                endPoint,
                loop,
                () -> LIMITS,
                () -> draining,
                exchange -> handler.accept(exchange),
                ended -> {}));
  }

  @AfterEach
  void stop() {
    loop.close();
  }

  @Test
  void answersPipelinedRequestsInOrder() throws Exception {
    handler =
        exchange -> {
          long delay = exchange.request().target().equals("/1") ? 100 : 0;
          loop.after(
              delay, () -> exchange.respond(HttpReply.text(200, exchange.request().target())));
        };
    try (Socket socket = open()) {
      send(socket, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
      String answers = readUntil(socket, "/2");
      assertThat(answers.indexOf("/1")).isLessThan(answers.indexOf("/2"));
    }
  }

  @Test
  void notifiesHandlerWhenCallerDisconnects() throws Exception {
    CompletableFuture<Boolean> abandoned = new CompletableFuture<>();
    handler = exchange -> exchange.onAbandoned(() -> abandoned.complete(true));
    try (Socket socket = open()) {
      send(socket, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    assertThat(abandoned.get(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void assemblesChunkedBody() throws Exception {
    handler = this::echo;
    try (Socket socket = open()) {
      send(
          socket,
          "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
              + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
      assertThat(readUntil(socket, "abcde")).contains("200 OK");
    }
  }

  @Test
  void refusesRequestWithTwoLengths() throws Exception {
    try (Socket socket = open()) {
      send(
          socket,
          "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n");
      assertThat(readToEnd(socket)).startsWith("HTTP/1.1 400");
    }
    assertThat(exchanges).isEmpty();
  }

  @Test
  void refusesBodyBeyondTheLimit() throws Exception {
    try (Socket socket = open()) {
      send(socket, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n");
      assertThat(readToEnd(socket)).startsWith("HTTP/1.1 413");
    }
  }

  @Test
  void refusesHeadersThatAreTooLongOrTooSlow() throws Exception {
    try (Socket socket = open()) {
      send(socket, "GET / HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(2_000) + "\r\n\r\n");
      assertThat(readToEnd(socket)).startsWith("HTTP/1.1 431");
    }
    try (Socket socket = open()) {
      send(socket, "GET / HTTP/1.1\r\nHost: a\r\n");
      assertThat(readToEnd(socket)).startsWith("HTTP/1.1 408");
    }
    assertThat(exchanges).isEmpty();
  }

  @Test
  void closesIdleConnectionAfterTimeout() throws Exception {
    try (Socket socket = open()) {
      assertThat(readToEnd(socket)).isEmpty();
    }
  }

  @Test
  void closesConnectionOnlyAfterLastAnswerWhileDraining() throws Exception {
    draining = true;
    handler = exchange -> loop.after(50, () -> echo(exchange));
    try (Socket socket = open()) {
      send(socket, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
      String answers = readToEnd(socket);
      assertThat(answers.split("200 OK", -1)).hasSize(3);
      assertThat(answers.split("Connection: close", -1)).hasSize(2);
    }
  }

  private void echo(Exchange exchange) {
    exchange.respond(new HttpReply(200, List.of(), exchange.request().body()));
  }

  private Socket open() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(WAIT_SECONDS * 1_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readUntil(Socket socket, String end) throws IOException {
    StringBuilder all = new StringBuilder();
    for (int next = socket.getInputStream().read();
        next >= 0;
        next = socket.getInputStream().read()) {
      all.append((char) next);
      if (all.toString().endsWith(end)) {
        return all.toString();
      }
    }
    return all.toString();
  }

  private static String readToEnd(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }
}
