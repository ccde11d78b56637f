package io.hemlockbend.core.table;

/** A precondition of a transaction on a row. */
public sealed interface Condition {
  /** Returns the row's key. */
  RowKey key();

  /**
   * The row must not exist.
   *
   * @param key the row's key
   */
  record Absent(RowKey key) implements Condition {}

  /**
   * The row must exist with exactly this revision.
   *
   * @param key the row's key
   * @param revision the revision that was read
   */
  record AtRevision(RowKey key, long revision) implements Condition {}
}
