package io.hemlockbend.core.table;

/** A write of a transaction. */
public sealed interface RowWrite {
  /** Returns the row's key. */
  RowKey key();

  /**
   * Creates or overwrites a row.
   *
   * @param key the row's key
   * @param value the new value
   */
  record Put(RowKey key, RowValue value) implements RowWrite {}

  /**
   * Deletes a row if it exists.
   *
   * @param key the row's key
   */
  record Delete(RowKey key) implements RowWrite {}
}
