package io.hemlockbend.node.commit;

import io.hemlockbend.core.acceptance.ChangeSet;
import io.hemlockbend.core.acceptance.CommitEvent;
import io.hemlockbend.core.acceptance.CommitOutcome;
import io.hemlockbend.core.acceptance.CommitPlanner;
import io.hemlockbend.core.acceptance.CommitRequest;
import io.hemlockbend.core.acceptance.CommitRetryPolicy;
import io.hemlockbend.core.acceptance.CommitStateMachine;
import io.hemlockbend.core.acceptance.CommitStep;
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

/**
 * Carries out the steps of a commit against the platform until its outcome is known. Each commit
 * has a settlement of its own, whose steps run one after another.
 */
public final class CommitRunner {
  private static final int MARGIN_ROWS = 64;

  private final CommitPlanner planner;
  private final TableService table;
  private final ObjectStore store;
  private final AcceptListener listener;

  /**
   * Makes a runner.
   *
   * @param planner plans acceptances
   * @param table the platform's table
   * @param store the platform's object store
   * @param listener hears of acceptances
   */
  public CommitRunner(
      CommitPlanner planner, TableService table, ObjectStore store, AcceptListener listener) {
    this.planner = planner;
    this.table = table;
    this.store = store;
    this.listener = listener;
  }

  /**
   * Commits changes.
   *
   * @param order who commits and under which id
   * @param direct the changes, or empty for those that the author has staged
   * @param resent whether the commit id may have been sent before
   * @return what became of the commit; never fails
   */
  public CompletableFuture<CommitOutcome> run(
      CommitRequest order, Optional<ChangeSet> direct, boolean resent) {
    CommitRetryPolicy budget =
        new CommitRetryPolicy(
            CommitRetryPolicy.DEFAULT_MAX_FAILURES, new SplittableRandom(System.nanoTime()));
    CommitStateMachine settlement = new CommitStateMachine(planner, order, direct, resent, budget);
    return advance(settlement, settlement.start()).thenApply(this::tell);
  }

  private CompletableFuture<CommitOutcome> advance(CommitStateMachine settlement, CommitStep step) {
    if (step instanceof CommitStep.Done(CommitOutcome outcome)) {
      return CompletableFuture.completedFuture(outcome);
    }
    return carryOut(step)
        .exceptionally(CommitRunner::failed)
        .thenCompose(event -> advance(settlement, settlement.on(event)));
  }

  private CompletableFuture<CommitEvent> carryOut(CommitStep step) {
    return switch (step) {
      case CommitStep.ReadRow read -> table.read(read.key()).thenApply(CommitEvent.RowRead::new);
      case CommitStep.ReadHistory range ->
          readHistory(range).thenApply(CommitEvent.HistoryRead::new);
      case CommitStep.FetchBody fetch ->
          store.fetch(fetch.digest()).thenApply(CommitEvent.BodyFetched::new);
      case CommitStep.PutBody put ->
          store.put(put.digest(), put.configuration()).thenApply(done -> new CommitEvent.BodyPut());
      case CommitStep.Transact transact ->
          table.transact(transact.transaction()).thenApply(CommitEvent.Transacted::new);
      case CommitStep.Wait wait -> waited(wait.delayMillis());
      case CommitStep.Done done -> throw new IllegalStateException("the commit is done");
    };
  }

  private CompletableFuture<List<RowValue.History>> readHistory(CommitStep.ReadHistory range) {
    int count = Math.toIntExact(range.last().value() - range.after().value() + MARGIN_ROWS);
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

  private static CompletableFuture<CommitEvent> waited(long millis) {
    return CompletableFuture.supplyAsync(
        CommitEvent.Waited::new, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
  }

  private static CommitEvent failed(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    boolean mayHaveApplied = !(cause instanceof PlatformException.NotApplied);
    return new CommitEvent.Failed(mayHaveApplied, cause.getMessage());
  }

  private CommitOutcome tell(CommitOutcome outcome) {
    if (outcome instanceof CommitOutcome.Accepted accepted) {
      accepted
          .plan()
          .ifPresent(plan -> listener.accepted(accepted.mark(), plan.next(), accepted.changes()));
    }
    return outcome;
  }
}
