package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowValue;
import java.util.List;
import java.util.Optional;

/**
 * Changes to commit together.
 *
 * @param base the version that they were made against
 * @param changes the changes in their order
 * @param stagedRow the row that they are staged in, which the acceptance empties; empty when they
 *     were never staged
 */
public record ChangeSet(ConfigurationVersion base, List<Change> changes, Optional<Row> stagedRow) {
  /** How many changes a set may have. */
  public static final int MAX_CHANGES = 1000;

  /** Copies the list. */
  public ChangeSet {
    changes = List.copyOf(changes);
  }

  /** Returns the set that a staged row holds. */
  public static ChangeSet staged(Row row) {
    RowValue.Staged staged = (RowValue.Staged) row.value();
    return new ChangeSet(staged.base(), staged.changes(), Optional.of(row));
  }

  /** Returns a set that was never staged. */
  public static ChangeSet direct(ConfigurationVersion base, List<Change> changes) {
    return new ChangeSet(base, changes, Optional.empty());
  }
}
