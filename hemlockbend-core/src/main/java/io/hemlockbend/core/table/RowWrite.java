package io.hemlockbend.core.table;

/** A write of a transaction. */
public sealed interface RowWrite {
  /** Returns the row's key. */
  RowKey key();

  /**
   * Writes a row, new or not.
   *
   * @param key the row's key
   * @param value what it is to hold
   */
  record Put(RowKey key, RowValue value) implements RowWrite {}

  /**
   * Deletes a row, when it is there.
   *
   * @param key the row's key
   */
  record Delete(RowKey key) implements RowWrite {}
}
