package io.hemlockbend.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpTableServiceTest {
  private static final long TIMEOUT_MILLIS = 30_000;
  private static final long SHORT_TIMEOUT_MILLIS = 200;
  private static final RowKey KEY = new RowKey("a key/ä&=%");
  private static final Transaction DELETE =
      new Transaction(List.of(new Condition.AtRevision(KEY, 3)), List.of(new RowWrite.Delete(KEY)));

  private final HttpClient client = new HttpClient();

  @BeforeEach
  void start() throws Exception {
    client.start();
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
  }

  private HttpTableService service(URI uri, long timeoutMillis) {
    return new HttpTableService(client, new PlatformSettings(uri, timeoutMillis));
  }

  private static void assertFailsWith(
      Class<? extends PlatformException> type, CompletableFuture<?> future) {
    assertThatThrownBy(future::join).cause().isExactlyInstanceOf(type);
  }

  @Test
  void answersAreDecoded() throws IOException {
    try (ScriptedServer server = ScriptedServer.answeringJson(200, "{\"type\":\"applied\"}")) {
      assertThat(service(server.uri(), TIMEOUT_MILLIS).transact(DELETE).join())
          .isEqualTo(new TransactionOutcome.Applied());
    }
    try (ScriptedServer server = ScriptedServer.answeringJson(404, "")) {
      assertThat(service(server.uri(), TIMEOUT_MILLIS).read(KEY).join()).isEmpty();
    }
  }

  @Test
  void refusedConnectionIsNotApplied() throws IOException {
    int port;
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = closed.getLocalPort();
    }
    HttpTableService service = service(URI.create("http://127.0.0.1:" + port), TIMEOUT_MILLIS);
    assertFailsWith(PlatformException.NotApplied.class, service.transact(DELETE));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"type\":\"app",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
        "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"type\":\"appplied\"}",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 307 Moved\r\nLocation: /table/transact\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
        "SSH-2.0-OpenSSH\r\n\r\n"
      })
  void unexpectedAnswerToATransactionIsUnknownAndNotRetried(String answer) throws IOException {
    try (ScriptedServer server = ScriptedServer.answering(answer)) {
      HttpTableService service = service(server.uri(), TIMEOUT_MILLIS);
      assertFailsWith(PlatformException.Unknown.class, service.transact(DELETE));
      assertThat(server.requests()).isEqualTo(1);
    }
    try (ScriptedServer server = ScriptedServer.answering(answer)) {
      HttpTableService service = service(server.uri(), TIMEOUT_MILLIS);
      assertFailsWith(PlatformException.NotApplied.class, service.scan("a", 1));
      assertThat(server.requests()).isEqualTo(1);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 403, 404, 413, 429})
  void refusalBeforeAnyEffectIsNotApplied(int status) throws IOException {
    try (ScriptedServer server = ScriptedServer.answeringJson(status, "")) {
      HttpTableService service = service(server.uri(), TIMEOUT_MILLIS);
      assertFailsWith(PlatformException.NotApplied.class, service.transact(DELETE));
    }
  }

  @Test
  void timeoutOfATransactionIsUnknownAndOfAReadIsNotApplied() throws IOException {
    try (ScriptedServer server = ScriptedServer.silent()) {
      HttpTableService service = service(server.uri(), SHORT_TIMEOUT_MILLIS);
      assertFailsWith(PlatformException.Unknown.class, service.transact(DELETE));
      assertFailsWith(PlatformException.NotApplied.class, service.read(KEY));
    }
  }

  @Test
  void transactionThatWasNeverSentIsNotApplied() throws IOException {
    client.setMaxConnectionsPerDestination(1);
    try (ScriptedServer server = ScriptedServer.silent()) {
      HttpTableService longTimeout = service(server.uri(), TIMEOUT_MILLIS);
      HttpTableService shortTimeout = service(server.uri(), SHORT_TIMEOUT_MILLIS);
      CompletableFuture<?> occupiesConnection = longTimeout.transact(DELETE);
      assertFailsWith(PlatformException.NotApplied.class, shortTimeout.transact(DELETE));
      assertThat(occupiesConnection).isNotDone();
    }
  }
}
