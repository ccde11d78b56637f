package io.hemlockbend.core.claim;

import io.hemlockbend.core.table.Row;
import java.util.Optional;

/** The outcome of reading a claim row back. */
public sealed interface ReadOutcome {

  /**
   * The table responded.
   *
   * @param row the row, or empty when it does not exist
   */
  record Read(Optional<Row> row) implements ReadOutcome {}

  /** The read failed. */
  record Failed() implements ReadOutcome {}
}
