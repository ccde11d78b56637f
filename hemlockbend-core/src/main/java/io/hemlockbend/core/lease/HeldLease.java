package io.hemlockbend.core.lease;

import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.RowKey;

/**
 * A lease that this node holds.
 *
 * @param term the term that it holds it under
 * @param revision the revision of the lease row that proves it
 * @param validUntilMillis when the node stops to act on it, on the node's own clock
 */
public record HeldLease(long term, long revision, long validUntilMillis) {

  /**
   * Returns the condition that each transaction under the lease carries. A write under an older
   * term fails, since each new term is a new revision of the row.
   */
  public Condition condition() {
    return new Condition.AtRevision(RowKey.ROLLOUT_LEASE, revision);
  }
}
