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
   * @param row the row, or empty when it is not there
   */
  record RowRead(Optional<Row> row) implements SettlementEvent {}

  /**
   * History rows were read.
   *
   * @param rows those of the range that are there, in the order of their versions
   */
  record HistoryRead(List<RowValue.History> rows) implements SettlementEvent {}

  /**
   * A configuration was fetched.
   *
   * @param configuration the configuration, or empty when it is not there
   */
  record BodyFetched(Optional<Configuration> configuration) implements SettlementEvent {}

  /** The configuration was stored. */
  record BodyPut() implements SettlementEvent {}

  /**
   * The transaction was answered.
   *
   * @param outcome the answer
   */
  record Transacted(TransactionOutcome outcome) implements SettlementEvent {}

  /** The wait is over. */
  record Waited() implements SettlementEvent {}

  /**
   * The step failed.
   *
   * @param mayHaveApplied whether it may have taken effect, or may yet
   * @param reason what went wrong
   */
  record Failed(boolean mayHaveApplied, String reason) implements SettlementEvent {}
}
