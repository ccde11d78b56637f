package io.hemlockbend.testkit.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.codec.trace.CallKind;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.testkit.http.BlockingServer;
import io.hemlockbend.testkit.http.Exchange;
import io.hemlockbend.testkit.http.Headers;
import io.hemlockbend.testkit.http.Responder;
import io.hemlockbend.testkit.upstream.Photo;
import io.hemlockbend.testkit.upstream.RunLedger;
import io.hemlockbend.testkit.upstream.UpstreamFaults;
import io.hemlockbend.testkit.upstream.UpstreamServer;
import io.hemlockbend.testkit.upstream.UpstreamSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LoadToolTest {
  private static final int PHOTO_BYTES = 50_000;
  private static final List<CallTemplate> MIX =
      List.of(
          CallTemplate.parse("get:/quotes:6"),
          CallTemplate.parse("post:/orders:3"),
          CallTemplate.parse("photo:/surveys:1"));

  private static LoadPlan plan(URI entry) {
    return new LoadPlan(List.of(entry), 200, 500, 30_000, PHOTO_BYTES, MIX, 11);
  }

  private static UpstreamServer upstream(RunLedger ledger) {
    return new UpstreamServer(UpstreamSettings.basic("u1", "quotes", "v1"), ledger);
  }

  private static LoadReport loadOn(Responder responder) throws Exception {
    try (BlockingServer server = new BlockingServer("127.0.0.1", 0, responder)) {
      return LoadTool.run(plan(server.uri()), call -> {});
    }
  }

  @Test
  void healthyUpstreamAnswersAllWhole(@TempDir Path directory) throws Exception {
    RunLedger ledger = new RunLedger();
    Queue<TraceRecord.Call> trace = new ConcurrentLinkedQueue<>();
    try (UpstreamServer server = upstream(ledger)) {
      LoadReport report = LoadTool.run(plan(server.uri()), trace::add);
      assertThat(report.successShare()).isEqualTo(1);
      assertThat(report.calls()).isEqualTo(ledger.runs()).isEqualTo(trace.size()).isPositive();
      assertThat(report.versions()).containsEntry("v1", report.calls());
      assertThat(trace).extracting(TraceRecord.Call::kind).contains(CallKind.values());
      assertThat(ReportText.of(report)).contains("(100.0000 %)");
      ReportPlot.write(report, directory.resolve("plot.png"));
      assertThat(Files.size(directory.resolve("plot.png"))).isPositive();
    }
  }

  @Test
  void truncatedAnswersAreToldFromWholeOnes() throws Exception {
    try (UpstreamServer server = upstream(new RunLedger())) {
      server.faults(UpstreamFaults.truncating());
      LoadReport report = LoadTool.run(plan(server.uri()), call -> {});
      assertThat(report.whole()).isZero();
      assertThat(report.answers()).containsOnlyKeys(AnswerState.BROKEN);
    }
  }

  @Test
  void answerThatBreaksOffInItsHeadIsBroken() throws Exception {
    byte[] head = "HTTP/1.1 200 OK\r\nX-Answered-Re".getBytes(StandardCharsets.ISO_8859_1);
    try (ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
      Thread.ofVirtual().start(() -> answerAll(server, head));
      URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
      LoadReport report = LoadTool.run(plan(uri), call -> {});
      assertThat(report.answers()).containsOnlyKeys(AnswerState.BROKEN);
    }
  }

  private static void answerAll(ServerSocket server, byte[] answer) {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        // Unread bytes would reset the connection, and the reset could overtake the answer.
        readRequest(socket);
        socket.getOutputStream().write(answer);
      } catch (IOException e) {
        // The caller is gone or the test has ended.
      }
    }
  }

  private static void readRequest(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    int bodyLength = 0;
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        bodyLength = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
      line = in.readLine();
    }
    in.skip(bodyLength);
  }

  @Test
  void shortBodyThatLooksWholeIsDamaged() throws Exception {
    LoadReport report = loadOn(exchange -> reply(exchange, id(exchange), true));
    assertThat(report.answers()).containsOnlyKeys(AnswerState.DAMAGED);
    assertThat(report.wrong()).isEqualTo(report.calls());
  }

  @Test
  void answerToAnotherRequestIsCrossed() throws Exception {
    LoadReport report = loadOn(exchange -> reply(exchange, "other", false));
    assertThat(report.answers()).containsOnlyKeys(AnswerState.CROSSED);
    assertThat(report.wrong()).isEqualTo(report.calls());
  }

  @Test
  void unreachableEntryIsNoAnswer() throws Exception {
    UpstreamServer gone = upstream(new RunLedger());
    gone.close();
    LoadReport report = LoadTool.run(plan(gone.uri()), call -> {});
    assertThat(report.answers()).containsOnlyKeys(AnswerState.NONE);
    assertThat(report.statuses()).extracting(LoadReport.StatusCount::status).containsOnly(0);
  }

  private static String id(Exchange exchange) {
    return exchange.header(Headers.REQUEST_ID).orElseThrow();
  }

  private static void reply(Exchange exchange, String request, boolean shortened)
      throws IOException {
    byte[] body = new Photo(PHOTO_BYTES, 1).bytes();
    exchange.responseHeader(Headers.ANSWERED_REQUEST, request);
    exchange.responseHeader(Headers.CHECKSUM, Photo.checksum(body));
    byte[] sent = shortened ? Arrays.copyOf(body, body.length / 2) : body;
    try (OutputStream out = exchange.stream(200, sent.length)) {
      out.write(sent);
    }
  }
}
