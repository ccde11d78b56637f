package io.hemlockbend.node.admin;

import static io.hemlockbend.node.admin.AdministrationFixture.OTHER;
import static io.hemlockbend.node.admin.AdministrationFixture.PLATFORM;
import static io.hemlockbend.node.admin.AdministrationFixture.READER;
import static io.hemlockbend.node.admin.AdministrationFixture.TEAM;
import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminRequest;
import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.administration.ProblemKey;
import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.validation.ViolationKey;
import io.hemlockbend.node.admin.AdministrationFixture.Reply;
import java.io.ByteArrayInputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdministrationHandlerTest {
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final VersionName V2 = new VersionName("v2");

  private AdministrationFixture api;

  @BeforeEach
  void start() throws Exception {
    api = new AdministrationFixture();
  }

  @AfterEach
  void stop() {
    api.close();
  }

  private static CommitTag tag(String id) {
    return new CommitTag(new CommitId(id), false);
  }

  private static Change add(String version) {
    return new Change.AddVersion(
        new VersionKey(QUOTES, new VersionName(version)), new TeamName("tableaux"));
  }

  private static Change route(String name, String path, String service) {
    return new Change.PutRoute(
        new Route(new RouteName(name), path, new ServiceName(service), Priority.NORMAL));
  }

  private AdminResponse.Staged stage(String token, Change... changes) {
    AdminRequest.Stage body = new AdminRequest.Stage(List.of(changes));
    return api.ok(api.post(token, AdminPaths.STAGE, body), AdminResponse.Staged.class);
  }

  private Reply commit(String token, String id) {
    return api.post(token, AdminPaths.COMMIT, new AdminRequest.Commit(tag(id)));
  }

  private AdminResponse.Accepted accepted(Reply reply) {
    return api.ok(reply, AdminResponse.Accepted.class);
  }

  private void seed() {
    stage(TEAM, add("v1"), add("v2"), route("quotes", "/quotes", "quotes"));
    accepted(commit(TEAM, "seed"));
  }

  private List<String> audit() {
    return api.platform.values(RowValue.Audit.class).stream()
        .map(row -> row.actor() + " " + row.command() + " " + row.outcome())
        .toList();
  }

  @Test
  void stagedChangesAppearInDiffCommitShowAndHistory() {
    assertThat(stage(TEAM, add("v1"), route("quotes", "/quotes", "quotes")).faults()).isEmpty();
    AdminResponse.Staged diff = api.ok(api.get(TEAM, AdminPaths.DIFF), AdminResponse.Staged.class);
    assertThat(diff.lines()).extracting(AdminResponse.DiffLine::part).contains("route quotes");
    assertThat(accepted(commit(TEAM, "c1")).version().value()).isEqualTo(1);
    AdminResponse.Show show = api.ok(api.get(READER, AdminPaths.SHOW), AdminResponse.Show.class);
    assertThat(show.services().getFirst().versions().getFirst().state()).isEqualTo("active");
    AdminResponse.History history =
        api.ok(api.get(READER, AdminPaths.HISTORY + "?limit=5"), AdminResponse.History.class);
    assertThat(history.versions().getFirst().author()).isEqualTo("amel");
    assertThat(audit()).contains("amel stage OK", "amel commit OK", "amel diff OK");
  }

  @Test
  void lostCommitResponseIsResolvedByReadingBack() {
    stage(TEAM, add("v1"));
    api.platform.loseResponses(1);
    assertThat(accepted(commit(TEAM, "c1")).version().value()).isEqualTo(1);
    assertThat(accepted(commit(TEAM, "c1")).version().value()).isEqualTo(1);
    assertThat(api.platform.values(RowValue.History.class)).hasSize(1);
  }

  @Test
  void lostStagingResponseDoesNotStageTwice() {
    api.platform.loseResponses(1);
    assertThat(stage(TEAM, add("v1")).changes()).hasSize(1);
    AdminResponse.Staged diff = api.ok(api.get(TEAM, AdminPaths.DIFF), AdminResponse.Staged.class);
    assertThat(diff.changes()).hasSize(1);
  }

  @Test
  void discardClearsStagedChanges() {
    stage(TEAM, add("v1"));
    api.ok(api.postBytes(TEAM, AdminPaths.DISCARD, new byte[0]), AdminResponse.Staged.class);
    Problem problem = api.problem(commit(TEAM, "c1"));
    assertThat(problem.faults().getFirst().key()).isEqualTo(ViolationKey.NOTHING_STAGED);
  }

  @Test
  void commitReportsAllFaults() {
    stage(TEAM, route("a", "quotes", "nothing"), route("b", "/b", "void"), add("v1"));
    Reply reply = commit(TEAM, "c1");
    assertThat(reply.status()).isEqualTo(422);
    assertThat(api.problem(reply).faults())
        .extracting(f -> f.subject() + " " + f.key())
        .containsExactlyInAnyOrder(
            "route a ROUTE_SERVICE_MISSING",
            "route a PATH_PREFIX_MALFORMED",
            "route b ROUTE_SERVICE_MISSING");
  }

  @Test
  void conflictListsCompetingChanges() {
    seed();
    stage(TEAM, route("quotes", "/other", "quotes"));
    stage(PLATFORM, route("quotes", "/new", "quotes"));
    accepted(commit(PLATFORM, "c2"));
    Reply reply = commit(TEAM, "c3");
    assertThat(reply.status()).isEqualTo(409);
    assertThat(api.problem(reply).competing().getFirst().changes())
        .containsExactly(route("quotes", "/new", "quotes"));
  }

  @Test
  void moveAndTakeBackWithTagAreCommittedDirectly() {
    seed();
    long deadline = AdministrationFixture.NOW_MILLIS + 60_000;
    AdminRequest.Move move = new AdminRequest.Move(QUOTES, V2, deadline, Optional.of(tag("move")));
    accepted(api.post(TEAM, AdminPaths.MOVE, move));
    assertThat(api.configuration().moves().get(QUOTES).startMillis())
        .isEqualTo(AdministrationFixture.NOW_MILLIS);
    AdminRequest.TakeBack back =
        new AdminRequest.TakeBack(
            new VersionKey(QUOTES, V2), Optional.empty(), Optional.of(tag("back")));
    accepted(api.post(TEAM, AdminPaths.TAKE_BACK, back));
    assertThat(api.configuration().moves()).isEmpty();
  }

  @Test
  void onlyPlatformTeamMayChangeFailureDomains() {
    seed();
    AdminRequest.Withdraw withdraw =
        new AdminRequest.Withdraw(new FailureDomain("tunis"), Optional.of(tag("w")));
    Reply refused = api.post(TEAM, AdminPaths.WITHDRAW, withdraw);
    assertThat(refused.status()).isEqualTo(403);
    assertThat(api.problem(refused).faults().getFirst().key()).isEqualTo(ViolationKey.NOT_OWNED);
    accepted(
        api.post(
            PLATFORM,
            AdminPaths.WITHDRAW,
            new AdminRequest.Withdraw(new FailureDomain("tunis"), Optional.of(tag("w2")))));
    AdminRequest.Restore restore =
        new AdminRequest.Restore(new FailureDomain("tunis"), 60_000, Optional.of(tag("r")));
    accepted(api.post(PLATFORM, AdminPaths.RESTORE, restore));
    assertThat(audit()).contains("amel withdraw FORBIDDEN", "root withdraw OK", "root restore OK");
  }

  @Test
  void tokensRolesAndOwnershipAreChecked() {
    seed();
    AdminRequest.Stage body = new AdminRequest.Stage(List.of(add("v3")));
    assertThat(api.post(null, AdminPaths.STAGE, body).status()).isEqualTo(401);
    assertThat(api.post(TEAM + "x", AdminPaths.STAGE, body).status()).isEqualTo(401);
    assertThat(api.post(READER, AdminPaths.STAGE, body).status()).isEqualTo(403);
    assertThat(api.post(OTHER, AdminPaths.STAGE, body).status()).isEqualTo(403);
    AdminRequest.Stage step =
        new AdminRequest.Stage(List.of(new Change.AdvanceMove(QUOTES, V2, 1000)));
    assertThat(api.post(TEAM, AdminPaths.STAGE, step).status()).isEqualTo(403);
    assertThat(audit()).contains("anonymous stage UNAUTHENTICATED", "lim stage FORBIDDEN");
  }

  /** Without the header, callers reused the closed connection and lost the next request. */
  @Test
  void refusalBeforeBodyIsReadAnnouncesConnectionClose() throws Exception {
    for (String path : List.of(AdminPaths.STAGE, AdminPaths.PREFIX + "nothing")) {
      try (Socket socket = new Socket("127.0.0.1", api.port())) {
        String head =
            "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 100\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        String answer =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertThat(answer).matches("(?s)HTTP/1.1 40[14].*").contains("Connection: close");
      }
    }
  }

  @Test
  void malformedRequestsGetDescriptiveErrors() {
    String body = "{\"service\":\"quotes\",\"to\":\"v2\",\"deadlineMillis\":\"x\",\"commit\":null}";
    Reply reply = api.postBytes(TEAM, AdminPaths.MOVE, body.getBytes(StandardCharsets.UTF_8));
    assertThat(reply.status()).isEqualTo(400);
    assertThat(api.problem(reply).message()).contains("deadlineMillis");
    assertThat(api.postBytes(TEAM, AdminPaths.STAGE, new byte[] {'{'}).status()).isEqualTo(400);
    assertThat(api.get(TEAM, AdminPaths.HISTORY + "?limit=0").status()).isEqualTo(400);
    assertThat(api.get(TEAM, AdminPaths.EXPLAIN).status()).isEqualTo(400);
    assertThat(api.get(TEAM, AdminPaths.PROGRESS + "?version=x").status()).isEqualTo(400);
    assertThat(api.get(TEAM, "/v1/nothing").status()).isEqualTo(404);
    assertThat(api.get(TEAM, AdminPaths.COMMIT).status()).isEqualTo(405);
  }

  @Test
  void bodySizeIsLimited() {
    byte[] large = new byte[AdministrationHandler.MAX_BODY_BYTES + 1];
    HttpRequest chunked =
        api.request(TEAM, AdminPaths.STAGE)
            .POST(HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(large)))
            .build();
    assertThat(api.problem(api.send(chunked)).problem()).isEqualTo(ProblemKey.TOO_LARGE);
  }

  @Test
  void slowBodyTimesOut() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", api.port())) {
      String head =
          "POST /v1/stage HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n".formatted(TEAM)
              + "Content-Length: 100\r\n\r\n{";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertThat(answer).startsWith("HTTP/1.1 408").contains("TIMEOUT");
    }
  }

  @Test
  void showAndExplainWorkWhilePlatformIsUnreachable() {
    seed();
    api.platform.setUnreachable(true);
    AdminResponse.Show show = api.ok(api.get(READER, AdminPaths.SHOW), AdminResponse.Show.class);
    assertThat(show.newestAccepted()).isEmpty();
    assertThat(show.inForce().value()).isEqualTo(1);
    AdminResponse.Explanation explanation =
        api.ok(
            api.get(READER, AdminPaths.EXPLAIN + "?request=r1"), AdminResponse.Explanation.class);
    assertThat(explanation.decisions()).hasSize(1);
    assertThat(api.get(READER, AdminPaths.HISTORY).status()).isEqualTo(503);
    assertThat(api.problem(api.get(TEAM, AdminPaths.DIFF)).problem())
        .isEqualTo(ProblemKey.PLATFORM_AWAY);
    api.platform.setUnreachable(false);
    api.get(READER, AdminPaths.DIFF);
    assertThat(audit()).filteredOn(line -> line.contains("explain OK")).hasSize(1);
  }
}
