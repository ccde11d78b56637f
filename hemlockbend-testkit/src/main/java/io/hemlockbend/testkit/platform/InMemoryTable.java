package io.hemlockbend.testkit.platform;

import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A table with conditional transactions, in memory. Revisions count all writes to the table, so
 * that a key which was deleted and written anew never has an older revision again. Safe for use by
 * several threads; each call is atomic.
 */
public final class InMemoryTable {
  private final TreeMap<RowKey, Row> rows = new TreeMap<>();
  private long reads;
  private long transactions;
  private long writes;

  /** Makes an empty table. */
  public InMemoryTable() {}

  /** Returns the row of a key, when it is there. */
  public synchronized Optional<Row> read(RowKey key) {
    reads++;
    return Optional.ofNullable(rows.get(key));
  }

  /**
   * Returns rows in the order of their keys.
   *
   * @param prefix what their keys start with
   * @param limit how many at most; the last ones by key
   */
  public synchronized List<Row> scan(String prefix, int limit) {
    reads++;
    List<Row> found =
        rows.tailMap(new RowKey(prefix)).values().stream()
            .takeWhile(row -> row.key().value().startsWith(prefix))
            .toList();
    return found.subList(Math.max(0, found.size() - limit), found.size());
  }

  /** Applies a transaction whole when all its conditions hold, else not at all. */
  public synchronized TransactionOutcome transact(Transaction transaction) {
    transactions++;
    List<RowKey> failed =
        transaction.conditions().stream()
            .filter(condition -> !holds(condition))
            .map(Condition::key)
            .toList();
    if (!failed.isEmpty()) {
      return new TransactionOutcome.Conflicted(failed);
    }
    transaction.writes().forEach(this::write);
    return new TransactionOutcome.Applied();
  }

  /** Returns how many reads and scans were made. */
  public synchronized long reads() {
    return reads;
  }

  /** Returns how many transactions were tried, applied or not. */
  public synchronized long transactions() {
    return transactions;
  }

  /** Returns how many rows were written or deleted. */
  public synchronized long writes() {
    return writes;
  }

  private boolean holds(Condition condition) {
    Row row = rows.get(condition.key());
    return switch (condition) {
      case Condition.Absent absent -> row == null;
      case Condition.AtRevision at -> row != null && row.revision() == at.revision();
    };
  }

  private void write(RowWrite write) {
    writes++;
    switch (write) {
      case RowWrite.Put put -> rows.put(put.key(), new Row(put.key(), writes, put.value()));
      case RowWrite.Delete delete -> rows.remove(delete.key());
    }
  }
}
