package io.hemlockbend.core.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.validation.ConfigurationChecker;
import io.hemlockbend.core.validation.ViolationKey;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CommitStateMachineTest {
  private static final CommitId COMMIT = new CommitId("c1");
  private static final ConfigurationVersion ONE = new ConfigurationVersion(1);
  private static final CommitEvent FAILED = new CommitEvent.Failed(false, "unreachable");
  private static final Row COMMITTED =
      new Row(RowKey.commit(COMMIT), 1, new RowValue.Committed(COMMIT, ONE));

  private final CommitStateMachine stateMachine =
      new CommitStateMachine(
          new CommitPlanner(ConfigurationChecker.forAcceptance(), FakeTable::digest),
          new CommitRequest(
              COMMIT, new Author("amel", new TeamName("t"), true), 10, Set.of(), List.of()),
          Optional.empty(),
          false,
          new CommitRetryPolicy(1, new Random(1)));

  private CommitStep read(Row row) {
    return stateMachine.on(new CommitEvent.RowRead(Optional.ofNullable(row)));
  }

  private static CommitOutcome outcome(CommitStep step) {
    return ((CommitStep.Done) step).outcome();
  }

  @Test
  void platformUnreachableFromTheStartMeansNotAccepted() {
    stateMachine.start();
    assertThat(stateMachine.on(FAILED)).isInstanceOf(CommitStep.Wait.class);
    assertThat(stateMachine.on(new CommitEvent.Waited()))
        .isEqualTo(new CommitStep.ReadRow(RowKey.CURRENT));
    assertThat(outcome(stateMachine.on(FAILED))).isInstanceOf(CommitOutcome.Unavailable.class);
  }

  @Test
  void acceptedCommitWithUnreadableHistoryIsNeverReportedAsNotAccepted() {
    stateMachine.start();
    read(null);
    assertThat(read(COMMITTED)).isEqualTo(new CommitStep.ReadRow(RowKey.history(ONE)));
    assertThat(stateMachine.on(FAILED)).isInstanceOf(CommitStep.Wait.class);
    stateMachine.on(new CommitEvent.Waited());
    assertThat(outcome(read(null))).isInstanceOf(CommitOutcome.Unknown.class);
  }

  @Test
  void commitIdOfAnotherAuthorIsRefused() {
    stateMachine.start();
    read(null);
    read(COMMITTED);
    RowValue.History history =
        new RowValue.History(
            ONE, FakeTable.digest(Configuration.EMPTY), COMMIT, "badr", 5, List.of());
    CommitOutcome outcome = outcome(read(new Row(RowKey.history(ONE), 1, history)));
    assertThat(((CommitOutcome.Refused) outcome).violations().getFirst().key())
        .isEqualTo(ViolationKey.COMMIT_ID_TAKEN);
  }
}
