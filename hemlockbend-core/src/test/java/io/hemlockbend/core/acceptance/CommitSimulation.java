package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.validation.ConfigurationChecker;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Simulates committers on one table. Each choice is a step of one committer, a fault, or the
 * delivery of a delayed transaction.
 */
final class CommitSimulation {
  final FakeTable table = new FakeTable();
  private final List<Committer> committers = new ArrayList<>();
  private final List<Transaction> inFlight = new ArrayList<>();
  private final ChoiceEnumerator choices;
  private int faultsLeft;
  private boolean lostResponseMeansFailed;
  private boolean commitRowFirst;
  private UnaryOperator<Transaction> rewritingTransactions = UnaryOperator.identity();
  private Runnable externalEvent = () -> {};
  private boolean externalEventPending;
  private int acceptedBeforeExternalEvent = Integer.MAX_VALUE;

  CommitSimulation(ChoiceEnumerator choices, int faults, List<Change> seed) {
    this.choices = choices;
    this.faultsLeft = faults;
    if (!seed.isEmpty()) {
      Committer first = committer("seed", "seed", false, seed, List.of(), Set.of());
      committers.remove(first);
      while (!first.done()) {
        first.deliver(perform(first.step));
      }
    }
  }

  static final class Committer {
    private final CommitStateMachine stateMachine;
    final CommitId id;
    private final List<CommitEvent> events = new ArrayList<>();
    private CommitStep step;
    private Optional<Row> commitRow;

    Committer(CommitStateMachine stateMachine, CommitId id) {
      this.stateMachine = stateMachine;
      this.id = id;
      this.step = stateMachine.start();
    }

    boolean done() {
      return step instanceof CommitStep.Done;
    }

    CommitOutcome outcome() {
      return ((CommitStep.Done) step).outcome();
    }

    private void deliver(CommitEvent event) {
      events.add(event);
      step = stateMachine.on(event);
    }
  }

  /** Injects a bug: a lost response is treated as if nothing had been written. */
  CommitSimulation lostResponseMeansFailed() {
    lostResponseMeansFailed = true;
    return this;
  }

  /** Injects a bug: the commit row is read before the row {@code current}, not after it. */
  CommitSimulation commitRowFirst() {
    commitRowFirst = true;
    return this;
  }

  /** Injects a bug: transactions are rewritten before they are sent. */
  CommitSimulation rewritingTransactions(UnaryOperator<Transaction> rewrite) {
    rewritingTransactions = rewrite;
    return this;
  }

  /** Runs an action once at any point; no version may be accepted after it. */
  void externalEvent(Runnable action) {
    externalEvent = action;
    externalEventPending = true;
  }

  void stage(String operator, List<Change> changes) {
    ConfigurationVersion base =
        table.rows.containsKey(RowKey.CURRENT)
            ? table.current().version()
            : ConfigurationVersion.NONE;
    table.write(
        new RowWrite.Put(RowKey.staged(operator), new RowValue.Staged(operator, base, changes)));
  }

  Committer committer(
      String operator,
      String id,
      boolean resent,
      List<Change> direct,
      List<Condition> extraConditions,
      Set<FailureDomain> domains) {
    CommitRequest request =
        new CommitRequest(
            new CommitId(id),
            new Author(operator, new TeamName("mesh"), true),
            10,
            domains,
            extraConditions);
    Optional<ChangeSet> changes =
        direct.isEmpty()
            ? Optional.empty()
            : Optional.of(
                ChangeSet.direct(
                    table.rows.containsKey(RowKey.CURRENT)
                        ? table.current().version()
                        : ConfigurationVersion.NONE,
                    direct));
    CommitPlanner planner =
        new CommitPlanner(ConfigurationChecker.forAcceptance(), FakeTable::digest);
    Committer result =
        new Committer(
            new CommitStateMachine(
                planner, request, changes, resent, new CommitRetryPolicy(1, new Random(1))),
            request.commit());
    committers.add(result);
    return result;
  }

  /** Runs until all are done and nothing is in flight; false when it reached a visited state. */
  boolean run() {
    while (true) {
      committers.forEach(this::skipLocalSteps);
      List<Runnable> actions = new ArrayList<>();
      committers.stream().filter(c -> !c.done()).forEach(c -> addActions(c, actions));
      boolean allDone = actions.isEmpty();
      if (allDone && inFlight.isEmpty()) {
        return true;
      }
      for (int i = 0; i < inFlight.size(); i++) {
        int index = i;
        actions.add(() -> table.transact(inFlight.remove(index)));
      }
      if (externalEventPending) {
        actions.add(
            () -> {
              externalEventPending = false;
              acceptedBeforeExternalEvent = table.history().size();
              externalEvent.run();
            });
      }
      if (allDone) {
        actions.add(inFlight::clear);
      }
      int choice = choices.choose(actions.size(), state());
      if (choice < 0) {
        return false;
      }
      actions.get(choice).run();
    }
  }

  private List<Object> state() {
    List<Object> state = new ArrayList<>(table.rows.values());
    committers.forEach(c -> state.add(List.copyOf(c.events)));
    committers.forEach(c -> state.add(Optional.ofNullable(c.commitRow)));
    state.add(List.copyOf(inFlight));
    state.add(faultsLeft);
    state.add(externalEventPending);
    state.add(acceptedBeforeExternalEvent);
    return state;
  }

  private void addActions(Committer committer, List<Runnable> actions) {
    if (commitRowFirst && committer.step.equals(new CommitStep.ReadRow(RowKey.CURRENT))) {
      actions.add(() -> readCommitRowFirst(committer));
      return;
    }
    actions.add(() -> committer.deliver(perform(committer.step)));
    if (faultsLeft == 0) {
      return;
    }
    if (!(committer.step instanceof CommitStep.Transact(Transaction raw))) {
      actions.add(
          () -> {
            faultsLeft--;
            committer.deliver(new CommitEvent.Failed(false, "read failed"));
          });
      return;
    }
    Transaction transaction = rewritingTransactions.apply(raw);
    actions.add(
        () -> {
          faultsLeft--;
          table.transact(transaction);
          committer.deliver(new CommitEvent.Failed(!lostResponseMeansFailed, "response lost"));
        });
    actions.add(
        () -> {
          faultsLeft--;
          inFlight.add(transaction);
          committer.deliver(new CommitEvent.Failed(!lostResponseMeansFailed, "timeout"));
        });
  }

  private void readCommitRowFirst(Committer committer) {
    if (committer.commitRow == null) {
      committer.commitRow = table.read(RowKey.commit(committer.id));
      return;
    }
    committer.deliver(perform(committer.step));
    committer.deliver(new CommitEvent.RowRead(committer.commitRow));
    committer.commitRow = null;
  }

  /** Executes steps without shared effects at once, which excludes no outcome. */
  private void skipLocalSteps(Committer committer) {
    while (committer.step instanceof CommitStep.FetchBody
        || committer.step instanceof CommitStep.PutBody
        || committer.step instanceof CommitStep.Wait) {
      committer.deliver(perform(committer.step));
    }
  }

  private CommitEvent perform(CommitStep step) {
    return switch (step) {
      case CommitStep.ReadRow(RowKey key) -> new CommitEvent.RowRead(table.read(key));
      case CommitStep.ReadHistory(var after, var last) ->
          new CommitEvent.HistoryRead(
              table.history().stream()
                  .filter(h -> h.version().newerThan(after) && !h.version().newerThan(last))
                  .toList());
      case CommitStep.FetchBody(var digest) ->
          new CommitEvent.BodyFetched(Optional.ofNullable(table.bodies.get(digest)));
      case CommitStep.PutBody(var digest, var body) -> {
        table.bodies.put(digest, body);
        yield new CommitEvent.BodyPut();
      }
      case CommitStep.Transact(Transaction transaction) ->
          new CommitEvent.Transacted(table.transact(rewritingTransactions.apply(transaction)));
      case CommitStep.Wait wait -> new CommitEvent.Waited();
      case CommitStep.Done done -> throw new IllegalStateException("no step may follow Done");
    };
  }

  /** Returns the violated invariants after the run; empty when all hold. */
  List<String> violations() {
    List<String> violations = new ArrayList<>();
    Configuration body = Configuration.EMPTY;
    for (RowValue.History row : table.history()) {
      body = ChangeApplier.apply(body, row.changes());
      if (!row.version().equals(body.version()) || !row.digest().equals(FakeTable.digest(body))) {
        violations.add(
            "version " + row.version() + " does not equal its predecessor plus its changes");
      }
    }
    if (table.rows.containsKey(RowKey.CURRENT)
        && !table.current().version().equals(body.version())) {
      violations.add("the row current is not the last version of the history");
    }
    if (table.history().size() > acceptedBeforeExternalEvent) {
      violations.add("a version was accepted after the external event");
    }
    committers.forEach(c -> wrongOutcome(c).ifPresent(violations::add));
    return violations;
  }

  private Optional<String> wrongOutcome(Committer committer) {
    Optional<RowValue.History> written =
        table.history().stream().filter(h -> h.commit().equals(committer.id)).findFirst();
    boolean wrong =
        switch (committer.outcome()) {
          case CommitOutcome.Accepted accepted ->
              written.isEmpty() || !written.get().version().equals(accepted.mark().version());
          case CommitOutcome.Unknown unknown -> false;
          default -> written.isPresent();
        };
    return wrong
        ? Optional.of(committer.id + " reported " + committer.outcome() + " but wrote " + written)
        : Optional.empty();
  }
}
