package io.hemlockbend.core.lease;

import io.hemlockbend.core.table.Transaction;

/** Request of the {@link LeaseKeeper} to the table; the answer is passed back with the same id. */
public sealed interface LeaseRequest {
  /** Returns the request's id; answers to all but the newest request are ignored. */
  long id();

  /**
   * Reads the lease row.
   *
   * @param id the request's id
   */
  record Read(long id) implements LeaseRequest {}

  /**
   * Acquires, renews or releases the lease.
   *
   * @param id the request's id
   * @param transaction the conditional write
   */
  record Write(long id, Transaction transaction) implements LeaseRequest {}
}
