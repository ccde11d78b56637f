package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.List;
import java.util.Optional;

/** The result of a {@link SettlementStep}. */
public sealed interface SettlementEvent {

  /**
   * A row was read.
   *
   * @param row the row, or empty when it does not exist
   */
  record RowRead(Optional<Row> row) implements SettlementEvent {}

  /**
   * History rows were read.
   *
   * @param rows the existing rows of the range, ordered by version
   */
  record HistoryRead(List<RowValue.History> rows) implements SettlementEvent {}

  /**
   * A configuration was fetched.
   *
   * @param configuration the configuration, or empty when it was not found
   */
  record BodyFetched(Optional<Configuration> configuration) implements SettlementEvent {}

  /** The configuration was stored. */
  record BodyPut() implements SettlementEvent {}

  /**
   * The table responded to the transaction.
   *
   * @param outcome the response
   */
  record Transacted(TransactionOutcome outcome) implements SettlementEvent {}

  /** The delay has elapsed. */
  record Waited() implements SettlementEvent {}

  /**
   * The step failed.
   *
   * @param mayHaveApplied whether the step may have taken effect or may still do so
   * @param reason a description of the failure
   */
  record Failed(boolean mayHaveApplied, String reason) implements SettlementEvent {}
}
