package io.hemlockbend.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.NodeId;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class HemlockbendMainTest {
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(Map<String, String> environment, String... arguments) {
    CommandLine line = HemlockbendMain.commandLine(environment::get);
    line.setOut(new PrintWriter(out, true));
    line.setErr(new PrintWriter(err, true));
    return line.execute(arguments);
  }

  @Test
  void allInvalidFlagsAreReportedTogether() {
    Map<String, String> environment = Map.of("HEMLOCKBEND_TIMEOUT", "never");
    int code = run(environment, "move", "a b", "v2", "--deadline", "soon", "--node", "nowhere");
    assertThat(code).isEqualTo(ExitCodes.USAGE);
    assertThat(err.toString()).contains("'a b'", "'soon'", "'nowhere'", "'never'", "--token");
  }

  @Test
  void misplacedFlagsAndIncompleteCommandsAreRefused() {
    Map<String, String> environment =
        Map.of("HEMLOCKBEND_NODE", "127.0.0.1:1", "HEMLOCKBEND_TOKEN", "t");
    assertThat(run(environment, "stage", "withdraw", "tunis", "--commit"))
        .isEqualTo(ExitCodes.USAGE);
    assertThat(run(environment, "stage")).isEqualTo(ExitCodes.USAGE);
    assertThat(run(environment)).isEqualTo(ExitCodes.USAGE);
    assertThat(run(environment, "fly")).isEqualTo(ExitCodes.USAGE);
  }

  @Test
  void helpAndCompletionNeedNoNode() {
    assertThat(run(Map.of(), "--help")).isEqualTo(ExitCodes.OK);
    assertThat(run(Map.of(), "move", "--help")).isEqualTo(ExitCodes.OK);
    assertThat(run(Map.of(), "--version")).isEqualTo(ExitCodes.OK);
    assertThat(run(Map.of(), "completion")).isEqualTo(ExitCodes.OK);
    assertThat(out.toString()).contains("Exit codes", "--deadline", "0.1.0", "complete -F");
  }

  @Test
  void unreachableNodesHaveTheirOwnExitCode() throws IOException {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    Map<String, String> environment =
        Map.of("HEMLOCKBEND_NODE", "127.0.0.1:" + port, "HEMLOCKBEND_TOKEN", "secret-token");
    assertThat(run(environment, "show")).isEqualTo(ExitCodes.UNREACHABLE);
    assertThat(run(environment, "commit")).isEqualTo(ExitCodes.UNREACHABLE);
    assertThat(err.toString()).contains("no node could be reached").doesNotContain("secret-token");
  }

  @Test
  void lostAnswerOfACommandThatIsNotIdempotentIsUnknown() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      Thread.ofVirtual().start(() -> closeWithoutAnswer(silent));
      Map<String, String> environment =
          Map.of(
              "HEMLOCKBEND_NODE", "127.0.0.1:" + silent.getLocalPort(), "HEMLOCKBEND_TOKEN", "t");
      assertThat(run(environment, "stage", "withdraw", "tunis")).isEqualTo(ExitCodes.UNKNOWN);
      assertThat(run(environment, "commit", "--timeout", "500ms")).isEqualTo(ExitCodes.UNKNOWN);
    }
  }

  @Test
  void acceptedButNotSeenEverywhereHasItsOwnExitCode() throws IOException {
    JsonCodec codec = new JsonCodec();
    ConfigurationVersion version = new ConfigurationVersion(4);
    CommitId commit = new CommitId("c");
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 4);
    answer(
        server,
        AdminPaths.COMMIT,
        codec.encode(
            new AdminResponse.Accepted(commit, version, new Digest("0".repeat(64)), List.of())));
    answer(
        server,
        AdminPaths.PROGRESS,
        codec.encode(new AdminResponse.Progress(version, true, 2, 1, List.of(new NodeId("n9")))));
    server.start();
    Map<String, String> environment =
        Map.of(
            "HEMLOCKBEND_NODE", "127.0.0.1:" + server.getAddress().getPort(),
            "HEMLOCKBEND_TOKEN", "t",
            "HEMLOCKBEND_TIMEOUT", "3s",
            "HEMLOCKBEND_WAIT", "true");
    assertThat(run(environment, "commit")).isEqualTo(ExitCodes.NOT_EVERYWHERE);
    assertThat(out.toString()).contains("accepted as version 4");
    assertThat(err.toString()).contains("in force on 1 of 2 live nodes", "n9");
    server.stop(0);
  }

  /** The progress query fails, for example because the time-out passes right after the commit. */
  @Test
  void failedProgressQueryAfterAcceptanceIsNotReportedAsUnreachable() throws IOException {
    ConfigurationVersion version = new ConfigurationVersion(4);
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 4);
    answer(
        server,
        AdminPaths.COMMIT,
        new JsonCodec()
            .encode(
                new AdminResponse.Accepted(
                    new CommitId("c"), version, new Digest("0".repeat(64)), List.of())));
    server.createContext(AdminPaths.PROGRESS, exchange -> exchange.close());
    server.start();
    Map<String, String> environment =
        Map.of(
            "HEMLOCKBEND_NODE", "127.0.0.1:" + server.getAddress().getPort(),
            "HEMLOCKBEND_TOKEN", "t",
            "HEMLOCKBEND_TIMEOUT", "3s",
            "HEMLOCKBEND_WAIT", "true");
    assertThat(run(environment, "commit")).isEqualTo(ExitCodes.NOT_EVERYWHERE);
    assertThat(err.toString()).contains("gave up waiting; the version is accepted");
    server.stop(0);
  }

  private static void answer(HttpServer server, String path, byte[] body) {
    server.createContext(
        path,
        exchange -> {
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
  }

  /** Reads a request and closes the connection without an answer. */
  private static void closeWithoutAnswer(ServerSocket socket) {
    try {
      while (true) {
        try (var connection = socket.accept()) {
          connection.getInputStream().read(new byte[512]);
        }
      }
    } catch (IOException e) {
      Thread.currentThread().interrupt();
    }
  }
}
