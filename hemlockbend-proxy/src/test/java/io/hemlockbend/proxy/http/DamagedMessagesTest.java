package io.hemlockbend.proxy.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.traffic.CallerLimits;
import io.hemlockbend.core.transfer.PartialMessageBudget;
import io.hemlockbend.proxy.RawServer;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.upstream.UpstreamPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpField;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests and answers with random damage, split at random bytes, repeated and cut. Fresh damage
 * comes with {@code -Dfuzz.base=NUMBER}.
 */
class DamagedMessagesTest {
  private static final long BASE = Long.getLong("fuzz.base", 0);
  private static final int TRIES = 150;
  private static final int WAIT_SECONDS = 10;
  private static final long ANSWER_MILLIS = 150;
  private static final CallerLimits LIMITS = new CallerLimits(1_024, 2_000, 300, 400);

  private static final String[] TOKENS = {
    "\r\n",
    "\n",
    "\r\n\r\n",
    ": ",
    "Content-Length: 99999999999\r\n",
    "Content-Length: -1\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Connection: close\r\n",
    "HTTP/1.1 ",
    "HTTP/9.9 ",
    "\u0000",
    "7fffffff\r\n",
    "0\r\n\r\n",
    "100 Continue\r\n\r\n",
    "503 Full\r\nNot-Run: true\r\n"
  };

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
  void nextCallerIsServedAfterDamagedRequests() throws Exception {
    InetSocketAddress address = CompletableFuture.supplyAsync(this::listen, loop::execute).join();
    String requests =
        "POST /a/b?c HTTP/1.1\r\n"
            + "Host: a\r\n"
            + "Id: 1\r\n"
            + "Content-Length: 5\r\n\r\n"
            + "helloGET /a/ HTTP/1.1\r\n"
            + "Host: a\r\n"
            + "Id: 2\r\n\r\n"
            + "POST /a/ HTTP/1.1\r\n"
            + "Host: a\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n"
            + "3\r\n"
            + "abc\r\n"
            + "0\r\n\r\n";
    for (int seed = 0; seed < TRIES; seed++) {
      SplittableRandom random = new SplittableRandom(seed ^ BASE);
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        write(socket, damaged(requests, random), random);
      }
      assertThat(get(address)).as("after seed %d, base %d", seed, BASE).contains("200", "whole");
    }
  }

  @Test
  void eachCallEndsOnceAndNoRefusalOfAnotherIsBelieved() throws Exception {
    AtomicInteger seeds = new AtomicInteger();
    try (RawServer server =
        new RawServer(
            socket -> {
              SplittableRandom random = new SplittableRandom(seeds.get() ^ BASE);
              String id = RawServer.readRequestId(socket);
              String answers =
                  "HTTP/1.1 503 Full\r\nId: other\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"
                      + "HTTP/1.1 200 OK\r\nId: "
                      + id
                      + "\r\nContent-Length: 5\r\n\r\nwhole";
              write(socket, damaged(answers, random), random);
            })) {
      for (int seed = 0; seed < TRIES; seed++) {
        seeds.set(seed);
        UpstreamPool pool =
            new UpstreamPool(loop, server.address(), "Id", new PartialMessageBudget<>(1_000_000));
        Outcome outcome = new Outcome();
        loop.execute(
            () -> {
              UpstreamPool.Call call = pool.call(request(), Long.MAX_VALUE, outcome);
              loop.after(ANSWER_MILLIS, call::cancel);
              loop.after(ANSWER_MILLIS + 1, () -> outcome.over.complete(null));
            });
        outcome.over.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(outcome.count).as("outcomes, seed %d, base %d", seed, BASE).isLessThan(2);
        assertThat(outcome.othersRefusal).as("seed %d, base %d", seed, BASE).isFalse();
      }
    }
  }

  private InetSocketAddress listen() {
    return loop.listen(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        endPoint ->
            new HttpServerConnection(
                endPoint,
                loop,
                () -> LIMITS,
                () -> false,
                exchange -> exchange.respond(HttpReply.text(200, "whole")),
                ended -> {}));
  }

  private static String get(InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
      RawServer.write(socket, "GET /a/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private static HttpRequest request() {
    return new HttpRequest(
        "GET", "/", List.of(new HttpField("Host", "up"), new HttpField("Id", "mine")), new byte[0]);
  }

  /** Writes text in pieces; the other side may close the connection in between. */
  private static void write(Socket socket, String text, SplittableRandom random) {
    try {
      socket.setTcpNoDelay(true);
      int from = 0;
      while (from < text.length()) {
        int to = Math.min(text.length(), from + random.nextInt(1, 60));
        RawServer.write(socket, text.substring(from, to));
        from = to;
      }
    } catch (SocketException e) {
      // Closing on damage is as good as an answer.
      return;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String damaged(String messages, SplittableRandom random) {
    StringBuilder text = new StringBuilder(messages);
    for (int i = random.nextInt(1, 5); i > 0; i--) {
      int at = random.nextInt(text.length() + 1);
      int end = Math.min(text.length(), at + random.nextInt(20));
      switch (random.nextInt(5)) {
        case 0 -> text.delete(at, end);
        case 1 -> text.insert(at, TOKENS[random.nextInt(TOKENS.length)]);
        case 2 -> text.insert(at, text.substring(at, end));
        case 3 -> text.append(text);
        default -> text.insert(at, (char) random.nextInt(256));
      }
    }
    return random.nextInt(4) == 0
        ? text.substring(0, random.nextInt(text.length() + 1))
        : text.toString();
  }

  private static final class Outcome implements UpstreamPool.Listener {
    final CompletableFuture<Void> over = new CompletableFuture<>();
    int count;
    boolean othersRefusal;

    @Override
    public void answered(HttpReply reply) {
      count++;
      othersRefusal |= !"mine".equals(reply.field("Id"));
    }

    @Override
    public void notSent(String reason) {
      count++;
    }

    @Override
    public void lost(String reason) {
      count++;
    }
  }
}
