package io.hemlockbend.core.lease;

import io.hemlockbend.core.table.Transaction;

/** What the keeper wants of the table; the answer is handed back with the same id. */
public sealed interface LeaseRequest {
  /** Returns the request's id; an answer to any but the newest request is dropped. */
  long id();

  /**
   * Reads the lease row.
   *
   * @param id the request's id
   */
  record Read(long id) implements LeaseRequest {}

  /**
   * Takes, renews or gives up the lease.
   *
   * @param id the request's id
   * @param transaction the conditional write
   */
  record Write(long id, Transaction transaction) implements LeaseRequest {}
}
