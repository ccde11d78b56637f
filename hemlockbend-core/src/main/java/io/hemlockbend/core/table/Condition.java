package io.hemlockbend.core.table;

/** What must hold of a row for a transaction to apply. */
public sealed interface Condition {
  /** Returns the row's key. */
  RowKey key();

  /**
   * The row must not be there.
   *
   * @param key the row's key
   */
  record Absent(RowKey key) implements Condition {}

  /**
   * The row must be there at just this revision.
   *
   * @param key the row's key
   * @param revision the revision that was read
   */
  record AtRevision(RowKey key, long revision) implements Condition {}
}
