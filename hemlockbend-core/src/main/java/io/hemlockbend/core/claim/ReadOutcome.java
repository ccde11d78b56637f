package io.hemlockbend.core.claim;

import io.hemlockbend.core.table.Row;
import java.util.Optional;

/** What is known of a claim row that was read back. */
public sealed interface ReadOutcome {

  /**
   * The table answered.
   *
   * @param row the row, or empty when it is not there
   */
  record Read(Optional<Row> row) implements ReadOutcome {}

  /** The read failed. */
  record Failed() implements ReadOutcome {}
}
