package io.hemlockbend.testkit.platform;

import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An in-memory table with conditional transactions. Revisions are taken from the count of all
 * writes to the table, so that a row deleted and created again never reuses a revision.
 * Thread-safe; each call is atomic.
 */
public final class InMemoryTable {
  /**
   * The content of a table at one time.
   *
   * @param rows its rows
   * @param writes the number of writes until then, from which revisions are taken
   */
  public record Copy(Map<RowKey, Row> rows, long writes) {}

  private final TreeMap<RowKey, Row> rows = new TreeMap<>();
  private long reads;
  private long transactions;
  private long writes;

  /** Creates an empty table. */
  public InMemoryTable() {}

  /** Returns the row of a key, or empty when there is none. */
  public synchronized Optional<Row> read(RowKey key) {
    reads++;
    return Optional.ofNullable(rows.get(key));
  }

  /**
   * Returns the last rows with a key prefix, in ascending order of their keys.
   *
   * @param prefix the prefix of the keys
   * @param limit the maximum number of rows
   */
  public synchronized List<Row> scan(String prefix, int limit) {
    reads++;
    List<Row> found =
        rows.tailMap(new RowKey(prefix)).values().stream()
            .takeWhile(row -> row.key().value().startsWith(prefix))
            .toList();
    return found.subList(Math.max(0, found.size() - limit), found.size());
  }

  /** Returns a copy from which the table can be restored. */
  public synchronized Copy copy() {
    return new Copy(Map.copyOf(rows), writes);
  }

  /** Restores a copy: what was written after it is lost, and revisions are given out again. */
  public synchronized void restore(Copy copy) {
    rows.clear();
    rows.putAll(copy.rows);
    writes = copy.writes;
  }

  /** Applies all writes of a transaction when all its conditions hold, else none. */
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

  /** Returns the number of reads and scans. */
  public synchronized long reads() {
    return reads;
  }

  /** Returns the number of transactions, applied or not. */
  public synchronized long transactions() {
    return transactions;
  }

  /** Returns the number of rows written or deleted. */
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
