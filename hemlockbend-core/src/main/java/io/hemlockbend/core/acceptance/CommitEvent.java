package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.List;
import java.util.Optional;

/** The result of a {@link CommitStep}. */
public sealed interface CommitEvent {

  /**
   * A row was read.
   *
   * @param row the row, or empty when it does not exist
   */
  record RowRead(Optional<Row> row) implements CommitEvent {}

  /**
   * History rows were read.
   *
   * @param rows the existing rows of the range, ordered by version
   */
  record HistoryRead(List<RowValue.History> rows) implements CommitEvent {}

  /**
   * A configuration was fetched.
   *
   * @param configuration the configuration, or empty when it was not found
   */
  record BodyFetched(Optional<Configuration> configuration) implements CommitEvent {}

  /** The configuration was stored. */
  record BodyPut() implements CommitEvent {}

  /**
   * The table responded to the transaction.
   *
   * @param outcome the response
   */
  record Transacted(TransactionOutcome outcome) implements CommitEvent {}

  /** The delay has elapsed. */
  record Waited() implements CommitEvent {}

  /**
   * The step failed.
   *
   * @param mayHaveApplied whether the step may have taken effect or may still do so
   * @param reason a description of the failure
   */
  record Failed(boolean mayHaveApplied, String reason) implements CommitEvent {}
}
