package io.hemlockbend.core.lease;

import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.RowKey;

/**
 * A lease that this node holds.
 *
 * @param term the term of the lease
 * @param revision the revision of the lease row written by this node
 * @param validUntilMillis when the node stops acting as holder, on its own clock
 */
public record HeldLease(long term, long revision, long validUntilMillis) {

  /**
   * Returns the fencing condition of each transaction under the lease. A write under an older term
   * fails, since each new term creates a new revision of the row.
   */
  public Condition condition() {
    return new Condition.AtRevision(RowKey.ROLLOUT_LEASE, revision);
  }
}
