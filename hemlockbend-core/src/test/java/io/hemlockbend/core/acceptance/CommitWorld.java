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

/** Committers on one table; each choice is one step of one of them, a fault, or a late delivery. */
final class CommitWorld {
  final FakeTable table = new FakeTable();
  private final List<Committer> committers = new ArrayList<>();
  private final List<Transaction> underWay = new ArrayList<>();
  private final Choices choices;
  private int faultsLeft;
  private boolean lostMeansFailed;
  private boolean commitRowFirst;
  private UnaryOperator<Transaction> rewriting = UnaryOperator.identity();
  private Runnable outsider = () -> {};
  private boolean outsiderLeft;
  private int acceptedBeforeOutsider = Integer.MAX_VALUE;

  CommitWorld(Choices choices, int faults, List<Change> seed) {
    this.choices = choices;
    this.faultsLeft = faults;
    if (!seed.isEmpty()) {
      Committer first = committer("seed", "seed", false, seed, List.of(), Set.of());
      committers.remove(first);
      while (!first.done()) {
        first.answer(perform(first.step));
      }
    }
  }

  static final class Committer {
    private final CommitSettlement settlement;
    final CommitId id;
    private final List<SettlementEvent> events = new ArrayList<>();
    private SettlementStep step;
    private Optional<Row> commitRow;

    Committer(CommitSettlement settlement, CommitId id) {
      this.settlement = settlement;
      this.id = id;
      this.step = settlement.start();
    }

    boolean done() {
      return step instanceof SettlementStep.Done;
    }

    CommitOutcome told() {
      return ((SettlementStep.Done) step).outcome();
    }

    private void answer(SettlementEvent event) {
      events.add(event);
      step = settlement.on(event);
    }
  }

  /** Breaks the committers: a lost answer is taken to mean that nothing was written. */
  CommitWorld lostMeansFailed() {
    lostMeansFailed = true;
    return this;
  }

  /** Breaks the committers: the commit row is read before the row current, not after it. */
  CommitWorld commitRowFirst() {
    commitRowFirst = true;
    return this;
  }

  /** Breaks the transactions. */
  CommitWorld rewriting(UnaryOperator<Transaction> rewrite) {
    rewriting = rewrite;
    return this;
  }

  /** Lets something else happen once, at any moment; nothing may be accepted after it. */
  void outsider(Runnable action) {
    outsider = action;
    outsiderLeft = true;
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
      List<Condition> extra,
      Set<FailureDomain> domains) {
    CommitOrder order =
        new CommitOrder(
            new CommitId(id), new Author(operator, new TeamName("mesh"), true), 10, domains, extra);
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
            new CommitSettlement(
                planner, order, changes, resent, new SettlementBudget(1, new Random(1))),
            order.commit());
    committers.add(result);
    return result;
  }

  /** Runs until all are told and nothing is under way; false when it came to a known state. */
  boolean run() {
    while (true) {
      committers.forEach(this::skipLocalSteps);
      List<Runnable> moves = new ArrayList<>();
      committers.stream().filter(c -> !c.done()).forEach(c -> addMoves(c, moves));
      boolean allTold = moves.isEmpty();
      if (allTold && underWay.isEmpty()) {
        return true;
      }
      for (int i = 0; i < underWay.size(); i++) {
        int index = i;
        moves.add(() -> table.transact(underWay.remove(index)));
      }
      if (outsiderLeft) {
        moves.add(
            () -> {
              outsiderLeft = false;
              acceptedBeforeOutsider = table.history().size();
              outsider.run();
            });
      }
      if (allTold) {
        moves.add(underWay::clear);
      }
      int choice = choices.choose(moves.size(), state());
      if (choice < 0) {
        return false;
      }
      moves.get(choice).run();
    }
  }

  private List<Object> state() {
    List<Object> state = new ArrayList<>(table.rows.values());
    committers.forEach(c -> state.add(List.copyOf(c.events)));
    committers.forEach(c -> state.add(Optional.ofNullable(c.commitRow)));
    state.add(List.copyOf(underWay));
    state.add(faultsLeft);
    state.add(outsiderLeft);
    state.add(acceptedBeforeOutsider);
    return state;
  }

  private void addMoves(Committer committer, List<Runnable> moves) {
    if (commitRowFirst && committer.step.equals(new SettlementStep.ReadRow(RowKey.CURRENT))) {
      moves.add(() -> readCommitRowFirst(committer));
      return;
    }
    moves.add(() -> committer.answer(perform(committer.step)));
    if (faultsLeft == 0) {
      return;
    }
    if (!(committer.step instanceof SettlementStep.Transact(Transaction raw))) {
      moves.add(
          () -> {
            faultsLeft--;
            committer.answer(new SettlementEvent.Failed(false, "read failed"));
          });
      return;
    }
    Transaction transaction = rewriting.apply(raw);
    moves.add(
        () -> {
          faultsLeft--;
          table.transact(transaction);
          committer.answer(new SettlementEvent.Failed(!lostMeansFailed, "answer lost"));
        });
    moves.add(
        () -> {
          faultsLeft--;
          underWay.add(transaction);
          committer.answer(new SettlementEvent.Failed(!lostMeansFailed, "timeout"));
        });
  }

  private void readCommitRowFirst(Committer committer) {
    if (committer.commitRow == null) {
      committer.commitRow = table.read(RowKey.commit(committer.id));
      return;
    }
    committer.answer(perform(committer.step));
    committer.answer(new SettlementEvent.RowRead(committer.commitRow));
    committer.commitRow = null;
  }

  /** Steps that nobody else can see are taken at once, which leaves out no outcome. */
  private void skipLocalSteps(Committer committer) {
    while (committer.step instanceof SettlementStep.FetchBody
        || committer.step instanceof SettlementStep.PutBody
        || committer.step instanceof SettlementStep.Wait) {
      committer.answer(perform(committer.step));
    }
  }

  private SettlementEvent perform(SettlementStep step) {
    return switch (step) {
      case SettlementStep.ReadRow(RowKey key) -> new SettlementEvent.RowRead(table.read(key));
      case SettlementStep.ReadHistory(var after, var last) ->
          new SettlementEvent.HistoryRead(
              table.history().stream()
                  .filter(h -> h.version().newerThan(after) && !h.version().newerThan(last))
                  .toList());
      case SettlementStep.FetchBody(var digest) ->
          new SettlementEvent.BodyFetched(Optional.ofNullable(table.bodies.get(digest)));
      case SettlementStep.PutBody(var digest, var body) -> {
        table.bodies.put(digest, body);
        yield new SettlementEvent.BodyPut();
      }
      case SettlementStep.Transact(Transaction transaction) ->
          new SettlementEvent.Transacted(table.transact(rewriting.apply(transaction)));
      case SettlementStep.Wait wait -> new SettlementEvent.Waited();
      case SettlementStep.Done done -> throw new IllegalStateException("nothing follows");
    };
  }

  /** Returns what does not hold after the run; empty when all holds. */
  List<String> broken() {
    List<String> broken = new ArrayList<>();
    Configuration body = Configuration.EMPTY;
    for (RowValue.History row : table.history()) {
      body = ChangeApplier.apply(body, row.changes());
      if (!row.version().equals(body.version()) || !row.digest().equals(FakeTable.digest(body))) {
        broken.add("version " + row.version() + " is not the one before it and its changes");
      }
    }
    if (table.rows.containsKey(RowKey.CURRENT)
        && !table.current().version().equals(body.version())) {
      broken.add("current is not the last of the history");
    }
    if (table.history().size() > acceptedBeforeOutsider) {
      broken.add("a version was accepted after the outsider");
    }
    committers.forEach(c -> toldWrongly(c).ifPresent(broken::add));
    return broken;
  }

  private Optional<String> toldWrongly(Committer committer) {
    Optional<RowValue.History> made =
        table.history().stream().filter(h -> h.commit().equals(committer.id)).findFirst();
    boolean wrong =
        switch (committer.told()) {
          case CommitOutcome.Accepted accepted ->
              made.isEmpty() || !made.get().version().equals(accepted.mark().version());
          case CommitOutcome.Unknown unknown -> false;
          default -> made.isPresent();
        };
    return wrong
        ? Optional.of(committer.id + " was told " + committer.told() + " but made " + made)
        : Optional.empty();
  }
}
