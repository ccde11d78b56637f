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
 * State machine that drives one commit to a correct outcome even when responses of the platform are
 * lost. It does no input or output: its owner executes each {@link CommitStep} and passes the
 * result back, until {@link CommitStep.Done}.
 *
 * <p>After the response to a transaction was lost, its state is determined as follows:
 *
 * <ul>
 *   <li>The commit row exists: the transaction was applied.
 *   <li>The row {@code current} was read and differs from the planned one, and the commit row, read
 *       after it, does not exist: the transaction was not applied and never will be, since its
 *       condition on {@code current} cannot hold again.
 *   <li>Otherwise it may still be applied. The same transaction is resent, which is idempotent.
 * </ul>
 *
 * <p>A commit that was sent before through another node may have a transaction in flight that is
 * unknown here. Before such a commit is reported as refused or in conflict, its commit row is
 * written with {@link ConfigurationVersion#NONE}, which closes the commit id.
 */
public final class CommitStateMachine {
  /** The maximum number of versions accepted since the base that are checked for overlap. */
  public static final long MAX_VERSIONS_BEHIND = 10_000;

  /** The maximum number of times that a commit is planned when others are accepted first. */
  public static final int MAX_PLANS = 16;

  private final CommitPlanner planner;
  private final CommitRequest request;
  private final Optional<ChangeSet> direct;
  private final boolean resent;
  private final CommitRetryPolicy retryPolicy;

  private CommitStep lastStep;
  private Optional<Row> current = Optional.empty();
  private ChangeSet changeSet;
  private CommitPlan.Planned sentPlan;
  private Optional<Row> sentPlanCurrent = Optional.empty();
  private TransactionOutcome.Conflicted lastConflict;
  private CommitOutcome closingOutcome;
  private boolean mayHaveApplied;
  private boolean readingAcceptedHistory;
  private int planCount;

  /**
   * Creates a state machine for one commit.
   *
   * @param planner plans the acceptance
   * @param request the parameters of the commit
   * @param direct the changes, or empty to commit the staged changes of the author
   * @param resent whether the commit id may have been sent before
   * @param retryPolicy limits and delays the retries
   */
  public CommitStateMachine(
      CommitPlanner planner,
      CommitRequest request,
      Optional<ChangeSet> direct,
      boolean resent,
      CommitRetryPolicy retryPolicy) {
    this.planner = planner;
    this.request = request;
    this.direct = direct;
    this.resent = resent;
    this.retryPolicy = retryPolicy;
    this.mayHaveApplied = resent;
  }

  /** Returns the first step. */
  public CommitStep start() {
    return emit(new CommitStep.ReadRow(RowKey.CURRENT));
  }

  /**
   * Processes the result of the last step.
   *
   * @param event the result
   * @return the next step
   */
  public CommitStep on(CommitEvent event) {
    return switch (event) {
      case CommitEvent.Failed failed -> failed(failed);
      case CommitEvent.Waited waited -> emit(afterWait());
      case CommitEvent.RowRead(Optional<Row> row) ->
          row.isEmpty() && readingAcceptedHistory
              ? failed(
                  new CommitEvent.Failed(
                      false, "the history row of an accepted version is missing"))
              : emit(rowRead(row));
      case CommitEvent.HistoryRead(List<RowValue.History> rows) -> emit(historyRead(rows));
      case CommitEvent.BodyFetched(Optional<Configuration> body) ->
          body.isPresent()
              ? emit(plan(body.get()))
              : failed(
                  new CommitEvent.Failed(
                      false, "the body of the current configuration is missing"));
      case CommitEvent.BodyPut put -> emit(new CommitStep.Transact(sentPlan.transaction()));
      case CommitEvent.Transacted(TransactionOutcome outcome) -> emit(transacted(outcome));
    };
  }

  private CommitStep emit(CommitStep step) {
    lastStep = step;
    return step;
  }

  /** Keeps the failed step as the last one, so that it can be retried after the wait. */
  private CommitStep failed(CommitEvent.Failed failed) {
    if (lastStep instanceof CommitStep.Transact && failed.mayHaveApplied()) {
      mayHaveApplied = true;
      lastConflict = null;
    }
    if (retryPolicy.recordFailure()) {
      return new CommitStep.Wait(retryPolicy.delayMillis());
    }
    return emit(
        new CommitStep.Done(
            mayHaveApplied
                ? new CommitOutcome.Unknown(request.commit(), failed.reason())
                : new CommitOutcome.Unavailable(failed.reason())));
  }

  private CommitStep afterWait() {
    boolean readBack = lastStep instanceof CommitStep.Transact && mayHaveApplied;
    return readBack ? new CommitStep.ReadRow(RowKey.CURRENT) : lastStep;
  }

  private CommitStep rowRead(Optional<Row> row) {
    RowKey key = ((CommitStep.ReadRow) lastStep).key();
    if (key.equals(RowKey.CURRENT)) {
      current = row;
      return new CommitStep.ReadRow(RowKey.commit(request.commit()));
    }
    if (key.equals(RowKey.commit(request.commit()))) {
      return row.map(this::commitFound).orElseGet(this::commitAbsent);
    }
    if (key.equals(stagedKey())) {
      return staged(row);
    }
    return accepted((RowValue.History) row.orElseThrow().value());
  }

  private CommitStep commitFound(Row row) {
    ConfigurationVersion version = ((RowValue.Committed) row.value()).version();
    if (!version.equals(ConfigurationVersion.NONE)) {
      mayHaveApplied = true;
      readingAcceptedHistory = true;
      return new CommitStep.ReadRow(RowKey.history(version));
    }
    return new CommitStep.Done(
        closingOutcome != null
            ? closingOutcome
            : conflict(CommitOutcome.Cause.COMMIT_CLOSED, List.of()));
  }

  private CommitStep accepted(RowValue.History history) {
    if (!history.author().equals(request.author().name())) {
      return new CommitStep.Done(
          new CommitOutcome.Refused(
              List.of(
                  Violation.of(
                      ViolationKey.COMMIT_ID_TAKEN,
                      "commit id " + request.commit(),
                      history.author()))));
    }
    return new CommitStep.Done(
        new CommitOutcome.Accepted(
            new VersionMark(history.version(), history.digest()),
            history.changes(),
            Optional.ofNullable(sentPlan).filter(plan -> plan.digest().equals(history.digest()))));
  }

  private CommitStep commitAbsent() {
    if (closingOutcome != null) {
      return close(closingOutcome);
    }
    if (sentPlan != null
        && lastConflict == null
        && revision(current) == revision(sentPlanCurrent)) {
      return new CommitStep.Transact(sentPlan.transaction());
    }
    mayHaveApplied = resent;
    if (lastConflict != null && lastConflict.failed().contains(stagedKey())) {
      return conclude(conflict(CommitOutcome.Cause.STAGED_CHANGED, List.of()));
    }
    if (lastConflict != null && !lastConflict.failed().contains(RowKey.CURRENT)) {
      return conclude(conflict(CommitOutcome.Cause.CONDITION_FAILED, List.of()));
    }
    sentPlan = null;
    lastConflict = null;
    return direct.map(this::checkBase).orElseGet(() -> new CommitStep.ReadRow(stagedKey()));
  }

  private CommitStep staged(Optional<Row> row) {
    return row.map(r -> checkBase(ChangeSet.staged(r)))
        .orElseGet(() -> checkBase(ChangeSet.direct(currentVersion(), List.of())));
  }

  private CommitStep checkBase(ChangeSet changes) {
    changeSet = changes;
    planCount++;
    long behind = currentVersion().value() - changes.base().value();
    if (changes.changes().isEmpty() || behind == 0) {
      return fetchBase();
    }
    if (planCount > MAX_PLANS) {
      return conclude(conflict(CommitOutcome.Cause.OVERTAKEN, List.of()));
    }
    if (behind < 0 || behind > MAX_VERSIONS_BEHIND) {
      return conclude(conflict(CommitOutcome.Cause.BASE_TOO_OLD, List.of()));
    }
    return new CommitStep.ReadHistory(changes.base(), currentVersion());
  }

  /** Take-backs only restrict, so a set of only take-backs proceeds despite competing changes. */
  private CommitStep historyRead(List<RowValue.History> rows) {
    CommitStep.ReadHistory read = (CommitStep.ReadHistory) lastStep;
    if (rows.size() != read.last().value() - read.after().value()) {
      return conclude(conflict(CommitOutcome.Cause.BASE_TOO_OLD, List.of()));
    }
    List<Change> own = changeSet.changes();
    List<RowValue.History> competing =
        own.stream().allMatch(Change.TakeBack.class::isInstance)
            ? List.of()
            : rows.stream().filter(row -> ChangeSubject.overlap(own, row.changes())).toList();
    return competing.isEmpty()
        ? fetchBase()
        : conclude(conflict(CommitOutcome.Cause.BASE_CHANGED, competing));
  }

  private CommitStep fetchBase() {
    return current
        .<CommitStep>map(row -> new CommitStep.FetchBody(((RowValue.Current) row.value()).digest()))
        .orElseGet(() -> plan(Configuration.EMPTY));
  }

  private CommitStep plan(Configuration base) {
    return switch (planner.plan(current, base, changeSet, request)) {
      case CommitPlan.Refused(List<Violation> violations) ->
          conclude(new CommitOutcome.Refused(violations));
      case CommitPlan.Planned planned -> {
        sentPlan = planned;
        sentPlanCurrent = current;
        yield new CommitStep.PutBody(planned.digest(), planned.next());
      }
    };
  }

  private CommitStep transacted(TransactionOutcome outcome) {
    return switch (outcome) {
      case TransactionOutcome.Applied applied ->
          new CommitStep.Done(
              closingOutcome != null
                  ? closingOutcome
                  : new CommitOutcome.Accepted(
                      sentPlan.mark(), sentPlan.changes(), Optional.of(sentPlan)));
      case TransactionOutcome.Conflicted failed -> {
        lastConflict = failed;
        yield new CommitStep.ReadRow(RowKey.CURRENT);
      }
    };
  }

  private CommitStep conclude(CommitOutcome outcome) {
    return resent ? close(outcome) : new CommitStep.Done(outcome);
  }

  /** Writes the commit row, so that no transaction of this commit id can be applied any more. */
  private CommitStep close(CommitOutcome outcome) {
    closingOutcome = outcome;
    RowKey key = RowKey.commit(request.commit());
    RowValue closed = new RowValue.Committed(request.commit(), ConfigurationVersion.NONE);
    return new CommitStep.Transact(
        new Transaction(
            List.of(new Condition.Absent(key)), List.of(new RowWrite.Put(key, closed))));
  }

  private CommitOutcome.Conflict conflict(
      CommitOutcome.Cause cause, List<RowValue.History> competing) {
    ConfigurationVersion base = changeSet == null ? currentVersion() : changeSet.base();
    return new CommitOutcome.Conflict(cause, base, currentVersion(), competing);
  }

  private RowKey stagedKey() {
    return RowKey.staged(request.author().name());
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
