package io.hemlockbend.node.admin;

import io.hemlockbend.core.acceptance.ChangeSet;
import io.hemlockbend.core.administration.ProblemKey;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import io.hemlockbend.platform.TableService;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Stores each operator's staged changes in one row of the table. Writes are conditional on the
 * row's revision, so that an operator's concurrent sessions do not overwrite each other. After a
 * write whose response was lost, the row is read again and compared with the intended value.
 */
final class StagingArea {
  private static final int MAX_ATTEMPTS = 4;

  private final TableService table;

  StagingArea(TableService table) {
    this.table = table;
  }

  /** Returns the changes an operator has staged; an empty set on the given base if none. */
  CompletableFuture<ChangeSet> read(String operator, ConfigurationVersion base) {
    return table
        .read(RowKey.staged(operator))
        .thenApply(row -> changeSet(row, base))
        .exceptionallyCompose(PlatformFailures::notApplied);
  }

  /** Adds changes to those an operator has staged. */
  CompletableFuture<ChangeSet> add(
      String operator, ConfigurationVersion base, List<Change> changes) {
    return edit(operator, base, changes, Optional.empty(), 1);
  }

  /** Clears the staged changes. The row stays, so that its revision keeps increasing. */
  CompletableFuture<ChangeSet> clear(String operator, ConfigurationVersion base) {
    return edit(operator, base, List.of(), Optional.empty(), 1);
  }

  private CompletableFuture<ChangeSet> edit(
      String operator,
      ConfigurationVersion base,
      List<Change> added,
      Optional<RowValue.Staged> attempted,
      int attempts) {
    RowKey key = RowKey.staged(operator);
    return table
        .read(key)
        .thenCompose(
            row -> {
              if (attempted.isPresent() && row.map(Row::value).equals(attempted)) {
                return CompletableFuture.completedFuture(changeSet(row, base));
              }
              RowValue.Staged updated = updated(operator, changeSet(row, base), base, added);
              return table
                  .transact(transaction(key, row, updated))
                  .handle((outcome, failure) -> resultOrRetry(outcome, failure, updated, attempts))
                  .thenCompose(
                      done ->
                          done.isPresent()
                              ? CompletableFuture.completedFuture(done.get())
                              : edit(operator, base, added, Optional.of(updated), attempts + 1));
            })
        .exceptionallyCompose(
            failure ->
                attempted.isPresent()
                    ? PlatformFailures.outcomeUnknown(failure)
                    : PlatformFailures.notApplied(failure));
  }

  /** Returns the result, or empty when the write must be attempted again. */
  private static Optional<ChangeSet> resultOrRetry(
      TransactionOutcome outcome, Throwable failure, RowValue.Staged updated, int attempts) {
    if (outcome instanceof TransactionOutcome.Applied) {
      return Optional.of(ChangeSet.direct(updated.base(), updated.changes()));
    }
    if (attempts < MAX_ATTEMPTS) {
      return Optional.empty();
    }
    if (failure == null) {
      throw AdministrationException.of(
          ProblemKey.CONFLICT,
          "the staged changes were modified concurrently; " + MAX_ATTEMPTS + " attempts failed");
    }
    throw new CompletionException(failure);
  }

  private static RowValue.Staged updated(
      String operator, ChangeSet current, ConfigurationVersion base, List<Change> added) {
    if (added.isEmpty()) {
      return new RowValue.Staged(operator, base, List.of());
    }
    List<Change> all = new ArrayList<>(current.changes());
    all.addAll(added);
    if (all.size() > ChangeSet.MAX_CHANGES) {
      throw AdministrationException.of(
          ProblemKey.REFUSED,
          all.size() + " staged changes exceed the limit of " + ChangeSet.MAX_CHANGES);
    }
    return new RowValue.Staged(operator, current.base(), all);
  }

  private static ChangeSet changeSet(Optional<Row> row, ConfigurationVersion base) {
    return row.map(ChangeSet::staged)
        .filter(set -> !set.changes().isEmpty())
        .orElseGet(() -> ChangeSet.direct(base, List.of()));
  }

  private static Transaction transaction(RowKey key, Optional<Row> row, RowValue.Staged updated) {
    Condition unchanged =
        row.<Condition>map(r -> new Condition.AtRevision(key, r.revision()))
            .orElseGet(() -> new Condition.Absent(key));
    return new Transaction(List.of(unchanged), List.of(new RowWrite.Put(key, updated)));
  }
}
