package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.table.RowKey;

/** Makes the keys of audit rows, which sort by time. */
public final class AuditKeys {
  private AuditKeys() {}

  /**
   * Returns a key.
   *
   * @param atMillis when the command ended, milliseconds since the epoch
   * @param id tells entries of the same time apart
   */
  public static RowKey key(long atMillis, String id) {
    return new RowKey(RowKey.AUDIT_PREFIX + String.format("%015d", atMillis) + "-" + id);
  }
}
