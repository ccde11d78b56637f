package io.hemlockbend.core.claim;

import io.hemlockbend.core.table.TransactionOutcome;

/** The outcome of a transaction that was sent to the table. */
public sealed interface BatchOutcome {

  /**
   * The table responded.
   *
   * @param outcome the response
   */
  record Answered(TransactionOutcome outcome) implements BatchOutcome {}

  /** The transaction was not applied. */
  record NotApplied() implements BatchOutcome {}

  /** The response was lost; the transaction was applied, may still be, or never will be. */
  record Unknown() implements BatchOutcome {}
}
