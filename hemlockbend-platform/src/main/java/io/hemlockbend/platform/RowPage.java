package io.hemlockbend.platform;

import io.hemlockbend.core.table.Row;
import java.util.List;

/**
 * The answer to a scan.
 *
 * @param rows the rows, ordered by key
 */
public record RowPage(List<Row> rows) {
  /** Copies the list. */
  public RowPage {
    rows = List.copyOf(rows);
  }
}
