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
 * Keeps each operator's staged changes in a row of the table. A write holds only while the row is
 * as it was read, so that an operator's two terminals lose nothing of each other; after a lost
 * answer the row is read again and compared.
 */
final class StagingArea {
  private static final int MAX_TRIES = 4;

  private final TableService table;

  StagingArea(TableService table) {
    this.table = table;
  }

  /** Returns what an operator has staged; an empty set on the given base when there is nothing. */
  CompletableFuture<ChangeSet> read(String operator, ConfigurationVersion base) {
    return table
        .read(RowKey.staged(operator))
        .thenApply(row -> changeSet(row, base))
        .exceptionallyCompose(PlatformFailures::notDone);
  }

  /** Adds changes to what an operator has staged. */
  CompletableFuture<ChangeSet> add(
      String operator, ConfigurationVersion base, List<Change> changes) {
    return edit(operator, base, changes, Optional.empty(), 1);
  }

  /** Forgets what an operator has staged. The row stays, so that its revision goes on counting. */
  CompletableFuture<ChangeSet> clear(String operator, ConfigurationVersion base) {
    return edit(operator, base, List.of(), Optional.empty(), 1);
  }

  private CompletableFuture<ChangeSet> edit(
      String operator,
      ConfigurationVersion base,
      List<Change> added,
      Optional<RowValue.Staged> tried,
      int tries) {
    RowKey key = RowKey.staged(operator);
    return table
        .read(key)
        .thenCompose(
            row -> {
              if (tried.isPresent() && row.map(Row::value).equals(tried)) {
                return CompletableFuture.completedFuture(changeSet(row, base));
              }
              RowValue.Staged wanted = wanted(operator, changeSet(row, base), base, added);
              return table
                  .transact(transaction(key, row, wanted))
                  .handle((outcome, failure) -> next(outcome, failure, wanted, tries))
                  .thenCompose(
                      done ->
                          done.isPresent()
                              ? CompletableFuture.completedFuture(done.get())
                              : edit(operator, base, added, Optional.of(wanted), tries + 1));
            })
        .exceptionallyCompose(
            failure ->
                tried.isPresent()
                    ? PlatformFailures.unknown(failure)
                    : PlatformFailures.notDone(failure));
  }

  /** Returns the result, or empty to try again. */
  private static Optional<ChangeSet> next(
      TransactionOutcome outcome, Throwable failure, RowValue.Staged wanted, int tries) {
    if (outcome instanceof TransactionOutcome.Applied) {
      return Optional.of(ChangeSet.direct(wanted.base(), wanted.changes()));
    }
    if (tries < MAX_TRIES) {
      return Optional.empty();
    }
    if (failure == null) {
      throw AdministrationException.of(
          ProblemKey.CONFLICT, "the staged changes are being altered elsewhere");
    }
    throw new CompletionException(failure);
  }

  private static RowValue.Staged wanted(
      String operator, ChangeSet held, ConfigurationVersion base, List<Change> added) {
    if (added.isEmpty()) {
      return new RowValue.Staged(operator, base, List.of());
    }
    List<Change> all = new ArrayList<>(held.changes());
    all.addAll(added);
    if (all.size() > ChangeSet.MAX_CHANGES) {
      throw AdministrationException.of(
          ProblemKey.REFUSED, "at most " + ChangeSet.MAX_CHANGES + " changes can be staged");
    }
    return new RowValue.Staged(operator, held.base(), all);
  }

  private static ChangeSet changeSet(Optional<Row> row, ConfigurationVersion base) {
    return row.map(ChangeSet::staged)
        .filter(set -> !set.changes().isEmpty())
        .orElseGet(() -> ChangeSet.direct(base, List.of()));
  }

  private static Transaction transaction(RowKey key, Optional<Row> row, RowValue.Staged wanted) {
    Condition unchanged =
        row.<Condition>map(r -> new Condition.AtRevision(key, r.revision()))
            .orElseGet(() -> new Condition.Absent(key));
    return new Transaction(List.of(unchanged), List.of(new RowWrite.Put(key, wanted)));
  }
}
