package io.hemlockbend.core.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Explores every interleaving of small commits with lost responses and delayed transactions. */
class CommitExplorationTest {
  private static final int MAX_FAULTS = 2;
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final TeamName TEAM = new TeamName("tableaux");
  private static final List<Change> SEED = List.of(add(QUOTES, "v1"));

  private record Result(long states, List<String> violations) {}

  private static Change add(ServiceName service, String version) {
    return new Change.AddVersion(new VersionKey(service, new VersionName(version)), TEAM);
  }

  private static Change route(String name, String path) {
    return new Change.PutRoute(new Route(new RouteName(name), path, QUOTES, Priority.NORMAL));
  }

  private static Result explore(
      int faults, List<Change> seed, Consumer<CommitSimulation> scenario) {
    ChoiceEnumerator choices = new ChoiceEnumerator();
    do {
      CommitSimulation simulation = new CommitSimulation(choices, faults, seed);
      scenario.accept(simulation);
      if (!simulation.run()) {
        continue;
      }
      List<String> violations = simulation.violations();
      if (!violations.isEmpty()) {
        violations = new ArrayList<>(violations);
        violations.add("choices " + choices);
        return new Result(choices.states(), violations);
      }
    } while (choices.next());
    return new Result(choices.states(), List.of());
  }

  private static void race(CommitSimulation simulation, Change left, Change right) {
    simulation.stage("amel", List.of(left));
    simulation.stage("badr", List.of(right));
    simulation.committer("amel", "commit-a", false, List.of(), List.of(), Set.of());
    simulation.committer("badr", "commit-b", false, List.of(), List.of(), Set.of());
  }

  @Test
  void racingCommitsOfOneRouteReportTheActualOutcome() {
    Result result =
        explore(
            MAX_FAULTS, SEED, simulation -> race(simulation, route("r", "/a"), route("r", "/b")));
    assertThat(result.violations()).isEmpty();
    assertThat(result.states()).isGreaterThan(1_000);
  }

  @Test
  void racingCommitsOfTheFirstVersionReportTheActualOutcome() {
    Result result =
        explore(1, List.of(), simulation -> race(simulation, SEED.get(0), add(QUOTES, "v2")));
    assertThat(result.violations()).isEmpty();
  }

  @Test
  void concurrentChangesWithoutACommonSubjectAreBothAccepted() {
    List<String> conflicting = new ArrayList<>();
    ChoiceEnumerator choices = new ChoiceEnumerator();
    do {
      CommitSimulation simulation = new CommitSimulation(choices, 0, SEED);
      race(simulation, route("r", "/a"), route("s", "/b"));
      if (simulation.run() && simulation.table.history().size() != 3) {
        conflicting.add(choices.toString());
      }
    } while (choices.next());
    assertThat(conflicting).isEmpty();
  }

  @Test
  void commitResentThroughAnotherNodeIsAcceptedOnce() {
    Result result = explore(MAX_FAULTS, SEED, simulation -> resend(simulation, true));
    assertThat(result.violations()).isEmpty();
  }

  /** The second node knows fewer failure domains and refuses what the first may accept. */
  private static void resend(CommitSimulation simulation, boolean resent) {
    FailureDomain tunis = new FailureDomain("tunis");
    FailureDomain sfax = new FailureDomain("sfax");
    List<Change> withdraw = List.of(new Change.Withdraw(tunis, 0));
    simulation.committer("amel", "commit-a", false, withdraw, List.of(), Set.of(tunis, sfax));
    simulation.committer("amel", "commit-a", resent, withdraw, List.of(), Set.of(tunis));
  }

  @Test
  void pausedHolderOfAnExpiredLeaseCommitsNothing() {
    Condition held = new Condition.AtRevision(RowKey.ROLLOUT_LEASE, 1);
    assertThat(
            explore(
                    MAX_FAULTS,
                    SEED,
                    simulation -> commitUnderReplacedLease(simulation, List.of(held)))
                .violations())
        .isEmpty();
  }

  @Test
  void withoutTheLeaseConditionAPausedHolderCommits() {
    Result result =
        explore(MAX_FAULTS, SEED, simulation -> commitUnderReplacedLease(simulation, List.of()));
    assertThat(result.violations()).first().asString().contains("after the external event");
  }

  private static void commitUnderReplacedLease(
      CommitSimulation simulation, List<Condition> leaseConditions) {
    simulation.table.write(new RowWrite.Put(RowKey.ROLLOUT_LEASE, lease("n1", 1)));
    List<Change> step = List.of(route("r", "/a"));
    simulation.committer("rollout", "step-1", false, step, leaseConditions, Set.of());
    simulation.externalEvent(
        () -> simulation.table.write(new RowWrite.Put(RowKey.ROLLOUT_LEASE, lease("n2", 2))));
  }

  /** Take-backs only restrict, so a concurrent change never causes them to be refused. */
  @Test
  void takeBackIsAcceptedDespiteConcurrentChanges() {
    List<Change> seed = List.of(add(QUOTES, "v1"), add(QUOTES, "v2"));
    VersionName v2 = new VersionName("v2");
    ChoiceEnumerator choices = new ChoiceEnumerator();
    do {
      CommitSimulation simulation = new CommitSimulation(choices, 0, seed);
      Change back = new Change.TakeBack(new VersionKey(QUOTES, v2), null);
      simulation.committer("amel", "back", false, List.of(back), List.of(), Set.of());
      Change move = new Change.StartMove(QUOTES, v2, 0, 99);
      simulation.committer("badr", "move", false, List.of(move), List.of(), Set.of());
      if (simulation.run()) {
        assertThat(simulation.violations()).isEmpty();
        assertThat(simulation.table.history())
            .extracting(row -> row.commit().value())
            .contains("back");
      }
    } while (choices.next());
  }

  private static RowValue.Lease lease(String holder, long term) {
    return new RowValue.Lease(new NodeId(holder), term, 100);
  }

  @Test
  void withoutReadBackAWrongOutcomeIsReported() {
    Result result =
        explore(
            MAX_FAULTS,
            SEED,
            simulation ->
                race(simulation.lostResponseMeansFailed(), route("r", "/a"), route("r", "/b")));
    assertThat(result.violations()).first().asString().contains("Unavailable");
  }

  @Test
  void withTheCommitRowReadFirstAWrongOutcomeIsReported() {
    Result result =
        explore(
            MAX_FAULTS,
            SEED,
            simulation -> race(simulation.commitRowFirst(), route("r", "/a"), route("r", "/b")));
    assertThat(result.violations()).first().asString().contains("reported Refused");
  }

  @Test
  void withoutTheVersionConditionsAnAcceptanceIsLost() {
    Result result =
        explore(
            0,
            SEED,
            simulation ->
                race(
                    simulation.rewritingTransactions(
                        CommitExplorationTest::withoutVersionConditions),
                    route("r", "/a"),
                    route("s", "/b")));
    assertThat(result.violations()).isNotEmpty();
  }

  private static Transaction withoutVersionConditions(Transaction transaction) {
    return new Transaction(
        transaction.conditions().stream()
            .filter(c -> !c.key().equals(RowKey.CURRENT))
            .filter(c -> !c.key().value().startsWith(RowKey.HISTORY_PREFIX))
            .toList(),
        transaction.writes());
  }

  @Test
  void withoutClosingTheCommitIdAResentCommitReportsAWrongOutcome() {
    Result result = explore(1, SEED, simulation -> resend(simulation, false));
    assertThat(result.violations()).first().asString().contains("Refused");
  }
}
