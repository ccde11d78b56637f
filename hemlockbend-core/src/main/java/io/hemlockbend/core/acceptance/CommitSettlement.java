package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import io.hemlockbend.core.validation.Violation;
import io.hemlockbend.core.validation.ViolationKey;
import java.util.List;
import java.util.Optional;

/**
 * Drives one commit to an outcome that is true whatever answers are lost. The owner carries out
 * each {@link SettlementStep} and hands its result back, until {@link SettlementStep.Done}.
 *
 * <p>What is known of a transaction whose answer was lost:
 *
 * <ul>
 *   <li>the commit row is there: it was accepted;
 *   <li>the row {@code current} was read and is another than planned, and the commit row, read
 *       after it, is not there: it was not accepted and never will be, since its condition on
 *       {@code current} cannot hold again;
 *   <li>otherwise it may yet take effect. The same transaction is sent again, which is idempotent.
 * </ul>
 *
 * <p>A commit that was sent before through another node may have a transaction under way that this
 * one does not know. Before such a commit is called refused or in conflict, its commit row is
 * written as {@link ConfigurationVersion#NONE}, which closes the commit id.
 */
public final class CommitSettlement {
  /** How many newer versions are compared with a change set. */
  public static final long MAX_VERSIONS_BEHIND = 10_000;

  /** How often a commit is planned anew because others were accepted first. */
  public static final int MAX_PLANS = 16;

  private final CommitPlanner planner;
  private final CommitOrder order;
  private final Optional<ChangeSet> direct;
  private final boolean resent;
  private final SettlementBudget budget;

  private SettlementStep last;
  private Optional<Row> current = Optional.empty();
  private ChangeSet changeSet;
  private CommitPlan.Planned sent;
  private Optional<Row> sentOn = Optional.empty();
  private TransactionOutcome.Conflicted conflicted;
  private CommitOutcome closingWith;
  private boolean unsettled;
  private boolean readingAccepted;
  private int plans;

  /**
   * Makes a settlement.
   *
   * @param planner plans the acceptance
   * @param order who commits what and when
   * @param direct the changes, or empty to commit what the author has staged
   * @param resent whether the commit id may have been sent before
   * @param budget bounds the tries
   */
  public CommitSettlement(
      CommitPlanner planner,
      CommitOrder order,
      Optional<ChangeSet> direct,
      boolean resent,
      SettlementBudget budget) {
    this.planner = planner;
    this.order = order;
    this.direct = direct;
    this.resent = resent;
    this.budget = budget;
    this.unsettled = resent;
  }

  /** Returns the first step. */
  public SettlementStep start() {
    return emit(new SettlementStep.ReadRow(RowKey.CURRENT));
  }

  /**
   * Takes the result of the last step.
   *
   * @param event the result
   * @return the next step
   */
  public SettlementStep on(SettlementEvent event) {
    return switch (event) {
      case SettlementEvent.Failed failed -> failed(failed);
      case SettlementEvent.Waited waited -> emit(afterWait());
      case SettlementEvent.RowRead(Optional<Row> row) ->
          row.isEmpty() && readingAccepted
              ? failed(new SettlementEvent.Failed(false, "an accepted version has no history"))
              : emit(rowRead(row));
      case SettlementEvent.HistoryRead(List<RowValue.History> rows) -> emit(historyRead(rows));
      case SettlementEvent.BodyFetched(Optional<Configuration> body) ->
          body.isPresent()
              ? emit(plan(body.get()))
              : failed(new SettlementEvent.Failed(false, "a configuration's body is missing"));
      case SettlementEvent.BodyPut put -> emit(new SettlementStep.Transact(sent.transaction()));
      case SettlementEvent.Transacted(TransactionOutcome outcome) -> emit(transacted(outcome));
    };
  }

  private SettlementStep emit(SettlementStep step) {
    last = step;
    return step;
  }

  /** Keeps the failed step as the last one, so that it can be done again after the wait. */
  private SettlementStep failed(SettlementEvent.Failed failed) {
    if (last instanceof SettlementStep.Transact && failed.mayHaveApplied()) {
      unsettled = true;
      conflicted = null;
    }
    if (budget.spend()) {
      return new SettlementStep.Wait(budget.delayMillis());
    }
    return emit(
        new SettlementStep.Done(
            unsettled
                ? new CommitOutcome.Unknown(order.commit(), failed.reason())
                : new CommitOutcome.Unavailable(failed.reason())));
  }

  private SettlementStep afterWait() {
    boolean readBack = last instanceof SettlementStep.Transact && unsettled;
    return readBack ? new SettlementStep.ReadRow(RowKey.CURRENT) : last;
  }

  private SettlementStep rowRead(Optional<Row> row) {
    RowKey key = ((SettlementStep.ReadRow) last).key();
    if (key.equals(RowKey.CURRENT)) {
      current = row;
      return new SettlementStep.ReadRow(RowKey.commit(order.commit()));
    }
    if (key.equals(RowKey.commit(order.commit()))) {
      return row.map(this::commitFound).orElseGet(this::commitAbsent);
    }
    if (key.equals(stagedKey())) {
      return staged(row);
    }
    return accepted((RowValue.History) row.orElseThrow().value());
  }

  private SettlementStep commitFound(Row row) {
    ConfigurationVersion version = ((RowValue.Committed) row.value()).version();
    if (!version.equals(ConfigurationVersion.NONE)) {
      unsettled = true;
      readingAccepted = true;
      return new SettlementStep.ReadRow(RowKey.history(version));
    }
    return new SettlementStep.Done(
        closingWith != null ? closingWith : conflict(CommitOutcome.Cause.COMMIT_CLOSED, List.of()));
  }

  private SettlementStep accepted(RowValue.History history) {
    if (!history.author().equals(order.author().name())) {
      return new SettlementStep.Done(
          new CommitOutcome.Refused(
              List.of(
                  Violation.of(
                      ViolationKey.COMMIT_ID_TAKEN,
                      "commit id " + order.commit(),
                      history.author()))));
    }
    return new SettlementStep.Done(
        new CommitOutcome.Accepted(
            new VersionMark(history.version(), history.digest()),
            history.changes(),
            Optional.ofNullable(sent).filter(plan -> plan.digest().equals(history.digest()))));
  }

  private SettlementStep commitAbsent() {
    if (closingWith != null) {
      return close(closingWith);
    }
    if (sent != null && conflicted == null && revision(current) == revision(sentOn)) {
      return new SettlementStep.Transact(sent.transaction());
    }
    unsettled = resent;
    if (conflicted != null && conflicted.failed().contains(stagedKey())) {
      return verdict(conflict(CommitOutcome.Cause.STAGED_CHANGED, List.of()));
    }
    if (conflicted != null && !conflicted.failed().contains(RowKey.CURRENT)) {
      return verdict(conflict(CommitOutcome.Cause.CONDITION_FAILED, List.of()));
    }
    sent = null;
    conflicted = null;
    return direct.map(this::onBase).orElseGet(() -> new SettlementStep.ReadRow(stagedKey()));
  }

  private SettlementStep staged(Optional<Row> row) {
    return row.map(r -> onBase(ChangeSet.staged(r)))
        .orElseGet(() -> onBase(ChangeSet.direct(currentVersion(), List.of())));
  }

  private SettlementStep onBase(ChangeSet changes) {
    changeSet = changes;
    plans++;
    long behind = currentVersion().value() - changes.base().value();
    if (changes.changes().isEmpty() || behind == 0) {
      return fetchBase();
    }
    if (plans > MAX_PLANS) {
      return verdict(conflict(CommitOutcome.Cause.OVERTAKEN, List.of()));
    }
    if (behind < 0 || behind > MAX_VERSIONS_BEHIND) {
      return verdict(conflict(CommitOutcome.Cause.BASE_TOO_OLD, List.of()));
    }
    return new SettlementStep.ReadHistory(changes.base(), currentVersion());
  }

  /** Take-backs alone only tighten, so they go on whatever others changed. */
  private SettlementStep historyRead(List<RowValue.History> rows) {
    SettlementStep.ReadHistory asked = (SettlementStep.ReadHistory) last;
    if (rows.size() != asked.last().value() - asked.after().value()) {
      return verdict(conflict(CommitOutcome.Cause.BASE_TOO_OLD, List.of()));
    }
    List<Change> own = changeSet.changes();
    List<RowValue.History> competing =
        own.stream().allMatch(Change.TakeBack.class::isInstance)
            ? List.of()
            : rows.stream().filter(row -> ChangeSubject.overlap(own, row.changes())).toList();
    return competing.isEmpty()
        ? fetchBase()
        : verdict(conflict(CommitOutcome.Cause.BASE_CHANGED, competing));
  }

  private SettlementStep fetchBase() {
    return current
        .<SettlementStep>map(
            row -> new SettlementStep.FetchBody(((RowValue.Current) row.value()).digest()))
        .orElseGet(() -> plan(Configuration.EMPTY));
  }

  private SettlementStep plan(Configuration base) {
    return switch (planner.plan(current, base, changeSet, order)) {
      case CommitPlan.Refused(List<Violation> violations) ->
          verdict(new CommitOutcome.Refused(violations));
      case CommitPlan.Planned planned -> {
        sent = planned;
        sentOn = current;
        yield new SettlementStep.PutBody(planned.digest(), planned.next());
      }
    };
  }

  private SettlementStep transacted(TransactionOutcome outcome) {
    return switch (outcome) {
      case TransactionOutcome.Applied applied ->
          new SettlementStep.Done(
              closingWith != null
                  ? closingWith
                  : new CommitOutcome.Accepted(sent.mark(), sent.changes(), Optional.of(sent)));
      case TransactionOutcome.Conflicted failed -> {
        conflicted = failed;
        yield new SettlementStep.ReadRow(RowKey.CURRENT);
      }
    };
  }

  private SettlementStep verdict(CommitOutcome outcome) {
    return resent ? close(outcome) : new SettlementStep.Done(outcome);
  }

  /** Writes the commit row, so that no transaction of this commit id can apply any more. */
  private SettlementStep close(CommitOutcome outcome) {
    closingWith = outcome;
    RowKey key = RowKey.commit(order.commit());
    RowValue closed = new RowValue.Committed(order.commit(), ConfigurationVersion.NONE);
    return new SettlementStep.Transact(
        new Transaction(
            List.of(new Condition.Absent(key)), List.of(new RowWrite.Put(key, closed))));
  }

  private CommitOutcome.Conflict conflict(
      CommitOutcome.Cause cause, List<RowValue.History> competing) {
    ConfigurationVersion base = changeSet == null ? currentVersion() : changeSet.base();
    return new CommitOutcome.Conflict(cause, base, currentVersion(), competing);
  }

  private RowKey stagedKey() {
    return RowKey.staged(order.author().name());
  }

  private ConfigurationVersion currentVersion() {
    return current
        .map(row -> ((RowValue.Current) row.value()).version())
        .orElse(ConfigurationVersion.NONE);
  }

  private static long revision(Optional<Row> row) {
    return row.map(Row::revision).orElse(-1L);
  }
}
