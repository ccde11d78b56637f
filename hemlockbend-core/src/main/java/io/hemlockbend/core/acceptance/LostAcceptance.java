package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import java.util.List;
import java.util.Optional;

/**
 * Plans to accept a configuration again that the table has lost, as it does when it is restored
 * from an older copy. What nodes have in force was accepted, so that a table that shows an older
 * version has lost that, or has answered late; then the transaction does not apply.
 */
public final class LostAcceptance {
  private static final String COMMIT_PREFIX = "restored-";

  private LostAcceptance() {}

  /**
   * Returns the transaction that accepts a configuration again.
   *
   * @param current the row {@code current} as read; empty if there is none
   * @param inForce the configuration in force at this node
   * @return the transaction, or empty if the table shows that configuration or a later one
   */
  public static Optional<Transaction> rewrite(Optional<Row> current, VersionMark inForce) {
    ConfigurationVersion read =
        current
            .map(row -> ((RowValue.Current) row.value()).version())
            .orElse(ConfigurationVersion.NONE);
    if (!inForce.version().newerThan(read)) {
      return Optional.empty();
    }
    CommitId commit = new CommitId(COMMIT_PREFIX + inForce.version().value());
    List<Condition> conditions = List.of(CommitPlanner.unchanged(RowKey.CURRENT, current));
    RowValue.Current value = new RowValue.Current(inForce.version(), inForce.digest(), commit);
    return Optional.of(
        new Transaction(conditions, List.of(new RowWrite.Put(RowKey.CURRENT, value))));
  }
}
