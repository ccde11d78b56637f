package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.table.RowKey;

/** Builds the keys of audit rows; the keys sort by time. */
public final class AuditKeys {
  private AuditKeys() {}

  /**
   * Returns the key of an audit row.
   *
   * @param atMillis the time at which the command ended, milliseconds since the epoch
   * @param id distinguishes audit rows with the same time
   */
  public static RowKey key(long atMillis, String id) {
    return new RowKey(RowKey.AUDIT_PREFIX + String.format("%015d", atMillis) + "-" + id);
  }
}
