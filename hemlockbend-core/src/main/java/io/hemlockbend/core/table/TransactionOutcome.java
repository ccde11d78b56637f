package io.hemlockbend.core.table;

import java.util.List;

/** The table's response to a transaction; a lost response is reported as a platform error. */
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
