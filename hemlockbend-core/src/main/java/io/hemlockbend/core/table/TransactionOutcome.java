package io.hemlockbend.core.table;

import java.util.List;

/** What became of a transaction whose answer came; a lost answer is an error of the platform. */
public sealed interface TransactionOutcome {

  /** All writes took effect. */
  record Applied() implements TransactionOutcome {}

  /**
   * Nothing was written.
   *
   * @param failed the keys whose conditions did not hold
   */
  record Conflicted(List<RowKey> failed) implements TransactionOutcome {

    /** Copies the list. */
    public Conflicted {
      failed = List.copyOf(failed);
    }
  }
}
