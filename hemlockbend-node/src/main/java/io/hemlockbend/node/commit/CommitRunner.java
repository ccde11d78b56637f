package io.hemlockbend.node.commit;

import io.hemlockbend.core.acceptance.ChangeSet;
import io.hemlockbend.core.acceptance.CommitEvent;
import io.hemlockbend.core.acceptance.CommitOutcome;
import io.hemlockbend.core.acceptance.CommitPlanner;
import io.hemlockbend.core.acceptance.CommitRequest;
import io.hemlockbend.core.acceptance.CommitRetryPolicy;
import io.hemlockbend.core.acceptance.CommitStateMachine;
import io.hemlockbend.core.acceptance.CommitStep;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.platform.ObjectStore;
import io.hemlockbend.platform.PlatformException;
import io.hemlockbend.platform.TableService;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Executes the steps of commits against the platform until their outcomes are known. Each commit
 * has its own {@link CommitStateMachine}, whose steps run one after another.
 */
public final class CommitRunner {
  /** Extra history rows to read, since a scan returns the last rows and newer ones may exist. */
  private static final int EXTRA_HISTORY_ROWS = 64;

  private final CommitPlanner planner;
  private final TableService table;
  private final ObjectStore store;
  private final AcceptanceListener listener;
  private final CurrentRowReader current;

  /**
   * Creates a runner.
   *
   * @param planner plans the transactions of commits
   * @param table the platform's table
   * @param store the platform's object store
   * @param listener is notified of accepted configurations
   */
  public CommitRunner(
      CommitPlanner planner, TableService table, ObjectStore store, AcceptanceListener listener) {
    this(planner, table, store, listener, () -> CurrentRowReader.InForce.NONE);
  }

  /**
   * Creates a runner of a node.
   *
   * @param planner plans the transactions of commits
   * @param table the platform's table
   * @param store the platform's object store
   * @param listener is notified of accepted configurations
   * @param inForce returns the configuration in force at the node; called on any thread
   */
  public CommitRunner(
      CommitPlanner planner,
      TableService table,
      ObjectStore store,
      AcceptanceListener listener,
      Supplier<CurrentRowReader.InForce> inForce) {
    this.planner = planner;
    this.table = table;
    this.store = store;
    this.listener = listener;
    this.current = new CurrentRowReader(table, store, inForce);
  }

  /**
   * Commits changes.
   *
   * @param request the author, the commit id and further conditions
   * @param direct the changes, or empty for those that the author has staged
   * @param resent whether an earlier request may have used the same commit id
   * @return the outcome; the future never fails
   */
  public CompletableFuture<CommitOutcome> run(
      CommitRequest request, Optional<ChangeSet> direct, boolean resent) {
    CommitRetryPolicy retryPolicy =
        new CommitRetryPolicy(
            CommitRetryPolicy.DEFAULT_MAX_FAILURES, new SplittableRandom(System.nanoTime()));
    CommitStateMachine stateMachine =
        new CommitStateMachine(planner, request, direct, resent, retryPolicy);
    return advance(stateMachine, stateMachine.start()).thenApply(this::notifyListener);
  }

  private CompletableFuture<CommitOutcome> advance(
      CommitStateMachine stateMachine, CommitStep step) {
    if (step instanceof CommitStep.Done(CommitOutcome outcome)) {
      return CompletableFuture.completedFuture(outcome);
    }
    return execute(step)
        .exceptionally(CommitRunner::failureEvent)
        .thenCompose(event -> advance(stateMachine, stateMachine.on(event)));
  }

  private CompletableFuture<CommitEvent> execute(CommitStep step) {
    return switch (step) {
      case CommitStep.ReadRow read -> readRow(read.key()).thenApply(CommitEvent.RowRead::new);
      case CommitStep.ReadHistory range ->
          readHistory(range).thenApply(CommitEvent.HistoryRead::new);
      case CommitStep.FetchBody fetch ->
          store.fetch(fetch.digest()).thenApply(CommitEvent.BodyFetched::new);
      case CommitStep.PutBody put ->
          store.put(put.digest(), put.configuration()).thenApply(done -> new CommitEvent.BodyPut());
      case CommitStep.Transact transact ->
          table.transact(transact.transaction()).thenApply(CommitEvent.Transacted::new);
      case CommitStep.Wait wait -> delay(wait.delayMillis());
      case CommitStep.Done done ->
          throw new IllegalStateException("no step follows the end of a commit: " + done);
    };
  }

  private CompletableFuture<Optional<Row>> readRow(RowKey key) {
    return key.equals(RowKey.CURRENT) ? current.read() : table.read(key);
  }

  private CompletableFuture<List<RowValue.History>> readHistory(CommitStep.ReadHistory range) {
    int count = Math.toIntExact(range.last().value() - range.after().value() + EXTRA_HISTORY_ROWS);
    return table
        .scan(RowKey.HISTORY_PREFIX, count)
        .thenApply(
            rows ->
                rows.stream()
                    .map(row -> (RowValue.History) row.value())
                    .filter(row -> row.version().newerThan(range.after()))
                    .filter(row -> !row.version().newerThan(range.last()))
                    .toList());
  }

  private static CompletableFuture<CommitEvent> delay(long millis) {
    return CompletableFuture.supplyAsync(
        CommitEvent.Waited::new, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
  }

  private static CommitEvent failureEvent(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    boolean mayHaveApplied = !(cause instanceof PlatformException.NotApplied);
    return new CommitEvent.Failed(mayHaveApplied, cause.getMessage());
  }

  private CommitOutcome notifyListener(CommitOutcome outcome) {
    if (outcome instanceof CommitOutcome.Accepted accepted) {
      accepted
          .plan()
          .ifPresent(plan -> listener.accepted(accepted.mark(), plan.next(), accepted.changes()));
    }
    return outcome;
  }
}
