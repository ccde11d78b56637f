package io.hemlockbend.proxy.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.traffic.CallerLimits;
import io.hemlockbend.core.transfer.BodyMemory;
import io.hemlockbend.proxy.loop.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against uploads, each within its limit, that together fill the heap. */
class ManyUploadsTest {
  private static final int BODY_BYTES = 200_000;
  private static final int CHUNK_BYTES = 1_000;
  private static final int BODIES = 5;
  private static final int CALLERS = 12;
  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final CallerLimits LIMITS = new CallerLimits(1_024, 2_000_000, 5_000, 5_000);

  private final EventLoop loop = new EventLoop();
  private final BodyMemory memory = new BodyMemory(BODIES * BODY_BYTES);
  private final List<Exchange> exchanges = new CopyOnWriteArrayList<>();
  private InetSocketAddress address;

  @BeforeEach
  void start() {
    loop.start();
    address = callOnLoop(this::listen);
  }

  @AfterEach
  void stop() {
    loop.close();
  }

  private InetSocketAddress listen() {
    return loop.listen(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        endPoint ->
            new HttpServerConnection(
                endPoint, loop, () -> LIMITS, memory, () -> false, exchanges::add, ended -> {}));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void thoseThatTheMemoryDoesNotHoldAreRefusedAsNotRun(boolean chunked) throws Exception {
    List<Socket> callers = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      callers.add(upload(chunked));
    }
    int most = chunked ? BODIES - 1 : BODIES;
    await().atMost(WAIT).until(() -> !exchanges.isEmpty() && settled());
    assertThat(exchanges).hasSizeBetween(most / 2, BODIES);
    assertThat(callOnLoop(memory::heldBytes)).isLessThanOrEqualTo((long) BODIES * BODY_BYTES);
    loop.execute(() -> exchanges.forEach(run -> run.respond(HttpReply.text(200, "stored"))));
    int refused = 0;
    for (Socket caller : callers) {
      String head = readHead(caller);
      assertThat(head).containsAnyOf("HTTP/1.1 200", "HTTP/1.1 503");
      if (head.startsWith("HTTP/1.1 503")) {
        assertThat(head).contains("Retry-After: 0.3");
        refused++;
      }
      caller.close();
    }
    assertThat(refused).isEqualTo(CALLERS - exchanges.size());
    await().atMost(WAIT).until(() -> callOnLoop(memory::heldBytes) == 0);
  }

  /** Bodies of callers that close the connection, before or after the last byte, are released. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void abandonedBodiesAreReleased(boolean whole) throws Exception {
    try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
      write(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
      write(caller, "x".repeat(whole ? BODY_BYTES : BODY_BYTES / 2));
      await().atMost(WAIT).until(() -> callOnLoop(memory::heldBytes) == BODY_BYTES);
      await().atMost(WAIT).until(() -> !whole || !exchanges.isEmpty());
    }
    await().atMost(WAIT).until(() -> callOnLoop(memory::heldBytes) == 0);
  }

  /** Returns whether every caller's upload has either arrived or been refused. */
  private boolean settled() throws InterruptedException {
    int before = exchanges.size();
    Thread.sleep(300);
    return exchanges.size() == before;
  }

  private Socket upload(boolean chunked) throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                if (chunked) {
                  write(socket, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
                  for (int sent = 0; sent < BODY_BYTES; sent += CHUNK_BYTES) {
                    write(socket, "3e8\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n");
                  }
                  write(socket, "0\r\n\r\n");
                } else {
                  write(
                      socket,
                      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
                  write(socket, "x".repeat(BODY_BYTES));
                }
              } catch (IOException e) {
                // The upload was refused and its connection closed.
              }
            });
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int read = socket.getInputStream().read();
      assertThat(read).as("answer so far: %s", head).isNotNegative();
      head.append((char) read);
    }
    return head.toString();
  }

  private <T> T callOnLoop(Supplier<T> query) {
    return CompletableFuture.supplyAsync(query, loop::execute).join();
  }
}
