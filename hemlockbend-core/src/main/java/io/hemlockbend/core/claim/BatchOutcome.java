package io.hemlockbend.core.claim;

import io.hemlockbend.core.table.TransactionOutcome;

/** What is known of a transaction that was sent to the table. */
public sealed interface BatchOutcome {

  /**
   * The table answered.
   *
   * @param outcome its answer
   */
  record Answered(TransactionOutcome outcome) implements BatchOutcome {}

  /** The transaction took no effect. */
  record NotApplied() implements BatchOutcome {}

  /** The answer was lost; the transaction took effect, or may yet, or not at all. */
  record Unknown() implements BatchOutcome {}
}
