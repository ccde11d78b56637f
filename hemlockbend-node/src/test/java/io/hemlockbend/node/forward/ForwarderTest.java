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
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An upstream that writes its first answer once more when the next request arrives. */
class ForwarderTest {
  private static final long MILLIS = 5_000;

  private final HttpClient client = new HttpClient();
  private ServerSocket upstream;

  @BeforeEach
  void start() throws Exception {
    client.start();
    upstream = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::answerTheFirstRequestTwice);
  }

  @AfterEach
  void stop() throws Exception {
    upstream.close();
    client.stop();
  }

  private void answerTheFirstRequestTwice() {
    try (Socket socket = upstream.accept()) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      readHead(in);
      write(socket, answer("r1"));
      readHead(in);
      write(socket, answer("r1"));
      in.readLine();
    } catch (IOException e) {
      // The test has ended, or the client closed the connection.
    }
  }

  private static void readHead(BufferedReader in) throws IOException {
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      // Requests have no body.
    }
  }

  private static String answer(String id) {
    return "HTTP/1.1 200 OK\r\n"
        + MeshHeaders.REQUEST_ID
        + ": "
        + id
        + "\r\nContent-Length: 2\r\n\r\n"
        + id;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  void earlierAnswerIsNotGivenToTheNextRequest() throws Exception {
    Forwarder forwarder = new Forwarder(client, 1_000);
    assertThat(send(forwarder, "r1"))
        .isInstanceOfSatisfying(
            Answer.Buffered.class, answer -> assertThat(answer.body()).asString().isEqualTo("r1"));
    assertThat(send(forwarder, "r2")).isEqualTo(new Answer.Failed(new AttemptEnd.Broken(false)));
  }

  private Answer send(Forwarder forwarder, String id) throws Exception {
    Call call =
        new Call(
            "GET",
            "/quotes",
            HttpFields.EMPTY,
            CallBody.Buffered.NONE,
            new RequestId(id),
            Optional.empty(),
            new RouteName("quotes"),
            new VersionKey(new ServiceName("quotes"), new VersionName("v1")),
            new UpstreamId("u1"),
            Priority.NORMAL,
            MILLIS,
            false);
    NodeAddress address = new NodeAddress("127.0.0.1", upstream.getLocalPort());
    return forwarder
        .send(call, new Hop(address, false, MILLIS, MILLIS))
        .get(MILLIS, TimeUnit.MILLISECONDS);
  }
}
