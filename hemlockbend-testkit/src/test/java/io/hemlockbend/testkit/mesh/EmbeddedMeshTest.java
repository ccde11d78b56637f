package io.hemlockbend.testkit.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.testkit.platform.PlatformFaults;
import io.hemlockbend.testkit.upstream.RunReport;
import io.hemlockbend.testkit.upstream.UpstreamFaults;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EmbeddedMeshTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final TeamName TEAM = new TeamName("tableaux");
  private static final VersionName V1 = new VersionName("v1");
  private static final VersionName V2 = new VersionName("v2");
  private static final FailureDomain SFAX = new FailureDomain("sfax");
  private static final String OUTCOME_HEADER = "Hemlockbend-Outcome";

  private final HttpClient caller = HttpClient.newHttpClient();
  private EmbeddedMesh mesh;
  private MeshOperator operator;

  @BeforeAll
  void startMesh() {
    mesh =
        EmbeddedMesh.start(
            List.of(
                new UpstreamSpec("q1", "tunis", "quotes", "v1", 10, 1),
                new UpstreamSpec("q2", "sfax", "quotes", "v1", 10, 1),
                new UpstreamSpec("q3", "sfax", "quotes", "v2", 10, 1)),
            "",
            1);
    await().atMost(TIMEOUT).until(mesh::settled);
    operator = new MeshOperator(mesh);
    commit(
        new Change.AddVersion(new VersionKey(QUOTES, V1), TEAM),
        new Change.AddVersion(new VersionKey(QUOTES, V2), TEAM),
        new Change.PutRoute(
            new Route(new RouteName("quotes"), "/quotes", QUOTES, Priority.NORMAL)));
  }

  @AfterEach
  void endFaults() {
    mesh.platform().faults(PlatformFaults.NONE);
    mesh.members().forEach(member -> member.upstream().faults(UpstreamFaults.NONE));
  }

  @AfterAll
  void stopMesh() {
    operator.close();
    mesh.close();
  }

  @Test
  void everyEntryServesTheVersionInForce() throws Exception {
    for (URI entry : mesh.entries()) {
      HttpResponse<String> answer = get(entry, "/quotes/7");
      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(answer.body()).contains("\"version\":\"v1\"");
    }
  }

  @Test
  void unknownPathIsRefusedAsNotRun() throws Exception {
    HttpResponse<String> answer = get(mesh.entry(0), "/nowhere");
    assertThat(answer.statusCode()).isEqualTo(404);
    assertThat(answer.headers().firstValue(OUTCOME_HEADER)).contains("not-run");
  }

  @Test
  void resendThroughAnotherNodeRunsOnce() throws Exception {
    String key = UUID.randomUUID().toString();
    await().atMost(TIMEOUT).until(() -> post(mesh.entry(0), key).statusCode() == 200);
    await().atMost(TIMEOUT).until(() -> post(mesh.entry(1), key).statusCode() != 503);
    assertThat(post(mesh.entry(1), key).statusCode()).isIn(200, 409);
    assertThat(runs(key)).isEqualTo(1);
  }

  @Test
  void platformOutageRefusesKeyedRequestsAsNotRunAndServesOthers() throws Exception {
    mesh.platform().faults(new PlatformFaults(true, 0, 0));
    String key = UUID.randomUUID().toString();
    HttpResponse<String> unsafe = post(mesh.entry(0), key);
    assertThat(unsafe.statusCode()).isEqualTo(503);
    assertThat(unsafe.headers().firstValue(OUTCOME_HEADER)).contains("not-run");
    assertThat(runs(key)).isZero();
    assertThat(get(mesh.entry(0), "/quotes/7").statusCode()).isEqualTo(200);
  }

  @Test
  void lostClaimAnswersNeverRunTwice() throws Exception {
    mesh.platform().faults(new PlatformFaults(false, 0, 1000));
    String key = UUID.randomUUID().toString();
    for (URI entry : mesh.entries()) {
      post(entry, key);
    }
    assertThat(runs(key)).isLessThanOrEqualTo(1);
  }

  @Test
  void truncatedAnswerIsNeverForwardedAsComplete() throws Exception {
    mesh.members().forEach(m -> m.upstream().faults(UpstreamFaults.truncating()));
    HttpResponse<String> answer = get(mesh.entry(0), "/quotes/7");
    assertThat(answer.statusCode()).isEqualTo(502);
    assertThat(answer.headers().firstValue(OUTCOME_HEADER)).contains("may-have-run");
  }

  @Test
  void largeAnswerArrivesWhole() throws Exception {
    HttpResponse<byte[]> answer =
        caller.send(
            HttpRequest.newBuilder(mesh.entry(2).resolve("/quotes/photo?bytes=700000&seed=3"))
                .build(),
            HttpResponse.BodyHandlers.ofByteArray());
    assertThat(answer.statusCode()).isEqualTo(200);
  }

  @Test
  void withdrawnDomainGetsNoRequestsUntilRestored() throws Exception {
    commit(new Change.Withdraw(SFAX, System.currentTimeMillis()));
    for (int i = 0; i < 20; i++) {
      HttpResponse<String> answer = get(mesh.entry(1), "/quotes/" + i);
      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(answer.body()).contains("\"upstream\":\"q1\"");
    }
    commit(new Change.Restore(SFAX, System.currentTimeMillis(), 1));
    await()
        .atMost(TIMEOUT)
        .until(() -> get(mesh.entry(1), "/quotes/9").body().contains("\"upstream\":\"q2\""));
  }

  @Test
  void restartedUpstreamIsUsedAgain() {
    mesh.members().getFirst().restartUpstream();
    await()
        .atMost(TIMEOUT)
        .until(() -> get(mesh.entry(0), "/quotes/9").body().contains("\"upstream\":\"q1\""));
  }

  private void commit(Change... changes) {
    VersionMark mark = operator.commit(changes);
    await().atMost(TIMEOUT).until(() -> mesh.inForceEverywhere(mark.version()));
  }

  private int runs(String key) {
    return mesh.members().stream()
        .flatMap(member -> member.ledger().keysRun(1).stream())
        .filter(run -> run.key().equals(key))
        .mapToInt(RunReport.KeyRuns::runs)
        .sum();
  }

  private HttpResponse<String> get(URI entry, String path)
      throws IOException, InterruptedException {
    return caller.send(
        HttpRequest.newBuilder(entry.resolve(path)).build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> post(URI entry, String key)
      throws IOException, InterruptedException {
    return caller.send(
        HttpRequest.newBuilder(entry.resolve("/quotes/accept"))
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("accept"))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }
}
