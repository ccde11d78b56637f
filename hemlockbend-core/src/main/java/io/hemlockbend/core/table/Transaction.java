package io.hemlockbend.core.table;

import java.util.List;

/**
 * Conditions and writes that the table applies atomically.
 *
 * @param conditions the preconditions
 * @param writes the writes to apply when all conditions hold
 */
public record Transaction(List<Condition> conditions, List<RowWrite> writes) {

  /** Copies the lists. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }
}
