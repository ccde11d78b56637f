package io.hemlockbend.node.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.node.HttpFactoryAccess;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that never end or break off and are kept in memory or passed on. */
class FaultyAnswerTest {
  private static final long MILLIS = 5_000;
  private static final int CHUNK_BYTES = 8 * 1024;

  /** What the kernel and the client may take in before the connection is closed. */
  private static final long MAX_TAKEN_BYTES = 16_000_000;

  private static final String HEAD = "HTTP/1.1 200 OK\r\n" + MeshHeaders.REQUEST_ID + ": r1\r\n";

  /** The part of an answer that never ends. */
  enum EndlessAnswer {
    FIELDS("HTTP/1.1 200 OK\r\n", "X-Filler: " + "x".repeat(CHUNK_BYTES) + "\r\n"),
    FIELD_LINE("HTTP/1.1 200 OK\r\nX-Filler: ", "x".repeat(CHUNK_BYTES)),
    STATUS_LINE("HTTP/1.1 200 ", "x".repeat(CHUNK_BYTES)),
    NO_HTTP("", "\0\1x".repeat(CHUNK_BYTES / 3)),
    TRAILERS(
        HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Filler: " + "x".repeat(CHUNK_BYTES) + "\r\n");

    private final String prefix;
    private final String repeated;

    EndlessAnswer(String prefix, String repeated) {
      this.prefix = prefix;
      this.repeated = repeated;
    }
  }

  private final AtomicLong written = new AtomicLong();
  private HttpClient client;
  private ServerSocket upstream;

  @BeforeEach
  void start() throws Exception {
    client = HttpFactoryAccess.client(Executors.newVirtualThreadPerTaskExecutor());
    client.start();
    upstream = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws Exception {
    upstream.close();
    client.stop();
  }

  @ParameterizedTest
  @EnumSource(EndlessAnswer.class)
  void endlessAnswerIsNotKept(EndlessAnswer endless) throws Exception {
    Thread.ofVirtual().start(() -> serve(socket -> writeEndlessly(socket, endless)));
    Answer answer = send();
    assertThat(answer).isEqualTo(new Answer.Failed(new AttemptEnd.Broken(false)));
    assertThat(written.get()).isLessThan(MAX_TAKEN_BYTES);
  }

  /** A body beyond the buffer is passed on as it comes, no faster than its caller reads. */
  @Test
  void endlessBodyIsNotReadAhead() throws Exception {
    Thread.ofVirtual()
        .start(
            () ->
                serve(
                    socket -> {
                      write(socket, HEAD + "Transfer-Encoding: chunked\r\n\r\n");
                      while (true) {
                        write(socket, "2000\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n");
                      }
                    }));
    assertThat(send()).isInstanceOf(Answer.Streamed.class);
    Thread.sleep(500);
    assertThat(written.get()).isLessThan(MAX_TAKEN_BYTES);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4\r\n\r\nabcd",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n",
        "\r\n"
      })
  void answerThatBreaksOffIsNotWhole(String rest) throws Exception {
    String answer = HEAD + rest;
    Thread.ofVirtual()
        .start(
            () -> {
              for (int length = 0; length < answer.length() && !upstream.isClosed(); length++) {
                String part = answer.substring(0, length);
                serve(socket -> write(socket, part));
              }
            });
    for (int length = 0; length < answer.length(); length++) {
      assertThat(send())
          .as("the first %d bytes", length)
          .isEqualTo(new Answer.Failed(new AttemptEnd.Broken(false)));
    }
  }

  private interface Script {
    void write(Socket socket) throws IOException;
  }

  private void serve(Script script) {
    try (Socket socket = upstream.accept()) {
      readHead(socket.getInputStream());
      script.write(socket);
    } catch (IOException e) {
      // The client closed the connection, or the test has ended.
    }
  }

  private static void readHead(InputStream in) throws IOException {
    for (int last = 0, read = in.read(); read >= 0; read = in.read()) {
      last = last << 8 | read;
      if (last == 0x0d0a0d0a) {
        return;
      }
    }
  }

  private void writeEndlessly(Socket socket, EndlessAnswer endless) throws IOException {
    write(socket, endless.prefix);
    while (true) {
      write(socket, endless.repeated);
    }
  }

  private void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    written.addAndGet(text.length());
  }

  private Answer send() throws Exception {
    Call call =
        new Call(
            "GET",
            "/quotes",
            HttpFields.EMPTY,
            CallBody.Buffered.NONE,
            new RequestId("r1"),
            Optional.empty(),
            new RouteName("quotes"),
            new VersionKey(new ServiceName("quotes"), new VersionName("v1")),
            new UpstreamId("u1"),
            Priority.NORMAL,
            MILLIS,
            false);
    NodeAddress address = new NodeAddress("127.0.0.1", upstream.getLocalPort());
    return new Forwarder(client, 1_000)
        .send(call, new Hop(address, false, MILLIS, MILLIS))
        .get(2 * MILLIS, TimeUnit.MILLISECONDS);
  }
}
