package io.hemlockbend.core.table;

import java.util.List;

/**
 * Conditions and writes that the table takes together or not at all.
 *
 * @param conditions what must hold
 * @param writes what is written when it holds
 */
public record Transaction(List<Condition> conditions, List<RowWrite> writes) {

  /** Copies the lists. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }
}
