package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowValue;
import java.util.List;
import java.util.Optional;

/**
 * Changes that are committed together.
 *
 * @param base the version that the changes are based on
 * @param changes the changes in their order
 * @param stagedRow the row that the changes are staged in, which the acceptance empties; absent
 *     when they were never staged
 */
public record ChangeSet(ConfigurationVersion base, List<Change> changes, Optional<Row> stagedRow) {
  /** The maximum number of changes in a set. */
  public static final int MAX_CHANGES = 1000;

  /** Copies the list. */
  public ChangeSet {
    changes = List.copyOf(changes);
  }

  /** Returns the change set stored in a staged row. */
  public static ChangeSet staged(Row row) {
    RowValue.Staged staged = (RowValue.Staged) row.value();
    return new ChangeSet(staged.base(), staged.changes(), Optional.of(row));
  }

  /** Returns a change set that was never staged. */
  public static ChangeSet direct(ConfigurationVersion base, List<Change> changes) {
    return new ChangeSet(base, changes, Optional.empty());
  }
}
