package io.hemlockbend.platform;

import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's transactional table service. Futures fail with {@link PlatformException}. */
public interface TableService {
  /**
   * Reads a row.
   *
   * @param key its key
   * @return the row, or empty when it does not exist
   */
  CompletableFuture<Optional<Row>> read(RowKey key);

  /**
   * Reads the rows whose keys start with a prefix, in the order of their keys.
   *
   * @param prefix the prefix of the keys
   * @param limit the maximum number of rows; when there are more, the last ones by key are returned
   */
  CompletableFuture<List<Row>> scan(String prefix, int limit);

  /**
   * Applies a transaction atomically.
   *
   * @param transaction the conditions and writes
   * @return the outcome; fails with {@link PlatformException.Unknown} when the answer is lost
   */
  CompletableFuture<TransactionOutcome> transact(Transaction transaction);
}
