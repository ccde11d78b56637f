package io.hemlockbend.testkit.operators;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.cli.ExitCodes;
import io.hemlockbend.cli.HemlockbendMain;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.testkit.mesh.EmbeddedMesh;
import io.hemlockbend.testkit.mesh.UpstreamSpec;
import io.hemlockbend.testkit.platform.PlatformFaults;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import picocli.CommandLine;

/** Tests operators' commands against real nodes and a platform with faults, in one process. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorCommandsTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final String TOKEN = "operator-token-for-tests";
  private static final String UNUSED_ADDRESS = "127.0.0.1:1";

  private EmbeddedMesh mesh;

  private record Run(int code, String out, String err) {
    <T> T json(Class<T> type) {
      return new JsonCodec().decode(out.strip().getBytes(StandardCharsets.UTF_8), type);
    }
  }

  @BeforeAll
  void startMesh() {
    mesh =
        EmbeddedMesh.start(
            List.of(
                new UpstreamSpec("o1", "tunis", "quotes", "v1", 10, 1),
                new UpstreamSpec("o2", "sfax", "quotes", "v2", 10, 1)),
            TOKEN + "=operator:*",
            1);
    await().atMost(START_TIMEOUT).until(mesh::settled);
    run("stage", "version", "quotes", "v1", "--owner", "tableaux");
    run("stage", "version", "quotes", "v2", "--owner", "tableaux");
    run("stage", "route", "quotes", "--path", "/quotes", "--service", "quotes");
    assertThat(run("commit", "--wait").code()).isEqualTo(ExitCodes.OK);
  }

  @AfterEach
  void clearFaultsAndStagedChanges() {
    mesh.platform().faults(PlatformFaults.NONE);
    run("discard");
  }

  @AfterAll
  void stopMesh() {
    mesh.close();
  }

  private Run run(String... arguments) {
    String nodes =
        UNUSED_ADDRESS
            + ",127.0.0.1:"
            + mesh.members().get(0).node().adminPort()
            + ",127.0.0.1:"
            + mesh.members().get(1).node().adminPort();
    Map<String, String> environment = Map.of("HEMLOCKBEND_NODE", nodes, "HEMLOCKBEND_TOKEN", TOKEN);
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    CommandLine line = HemlockbendMain.commandLine(environment::get);
    line.setOut(new PrintWriter(out, true));
    line.setErr(new PrintWriter(err, true));
    int code = line.execute(arguments);
    return new Run(code, out.toString(), err.toString());
  }

  private static PlatformFaults losingAnswers(int permille) {
    return new PlatformFaults(false, 0, permille);
  }

  @Test
  void showListsTheConfigurationInForceByNode() {
    AdminResponse.Show show = run("show", "--output", "json").json(AdminResponse.Show.class);
    assertThat(show.nodes()).hasSize(2);
    assertThat(show.services().getFirst().versions()).hasSize(2);
    assertThat(run("show").out()).contains("SERVICE", "quotes", "tunis", "in use");
    assertThat(run("history").out()).contains("platform-");
  }

  @Test
  void refusedCommitReportsEveryFault() {
    run("stage", "route", "a", "--path", "a", "--service", "nothing");
    assertThat(run("diff").out()).contains("route a", "not valid yet");
    Run refused = run("commit");
    assertThat(refused.code()).isEqualTo(ExitCodes.REFUSED);
    assertThat(refused.err())
        .contains("service nothing, which does not exist", "begin with a slash");
  }

  @Test
  void commitSucceedsOnceDespiteLostAnswers() {
    for (int i = 0; i < 5; i++) {
      run("stage", "route", "r" + i, "--path", "/r" + i, "--service", "quotes");
      mesh.platform().faults(losingAnswers(400));
      Run commit = run("commit", "--commit-id", "lossy-" + i, "--output", "json");
      mesh.platform().faults(PlatformFaults.NONE);
      assertThat(commit.code()).as(commit.err()).isEqualTo(ExitCodes.OK);
      assertThat(history("lossy-" + i))
          .containsExactly(commit.json(AdminResponse.Accepted.class).version().value());
    }
  }

  private List<Long> history(String commit) {
    List<Long> versions = new ArrayList<>();
    mesh.platform().table().scan(RowKey.HISTORY_PREFIX, 1_000).stream()
        .map(row -> (RowValue.History) row.value())
        .filter(row -> row.commit().value().equals(commit))
        .forEach(row -> versions.add(row.version().value()));
    return versions;
  }

  @Test
  void withdrawAndRestoreAreAppliedByAllNodes() {
    Run withdraw = run("withdraw", "sfax", "--commit", "--wait");
    assertThat(withdraw.code()).as(withdraw.err()).isEqualTo(ExitCodes.OK);
    assertThat(withdraw.err()).contains("in force on 2 of 2 live nodes");
    assertThat(run("show").out()).contains("withdrawn");
    assertThat(run("withdraw", "tunis", "--commit").code()).isEqualTo(ExitCodes.REFUSED);
    assertThat(run("restore", "sfax", "--ramp", "5s", "--commit").code()).isEqualTo(ExitCodes.OK);
  }

  @Test
  void whenThePlatformIsDownShowWorksAndCommitWritesNothing() {
    run("stage", "remove-route", "quotes");
    mesh.platform().faults(new PlatformFaults(true, 0, 0));
    assertThat(run("show").out()).contains("the platform is away");
    assertThat(run("explain", "r-1").code()).isEqualTo(ExitCodes.OK);
    assertThat(run("commit", "--commit-id", "away", "--timeout", "1s").code())
        .isIn(ExitCodes.UNREACHABLE, ExitCodes.UNKNOWN);
    mesh.platform().faults(PlatformFaults.NONE);
    assertThat(history("away")).isEmpty();
  }
}
