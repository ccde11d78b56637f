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
   * @return the row, or empty when it is not there
   */
  CompletableFuture<Optional<Row>> read(RowKey key);

  /**
   * Reads the rows whose keys start with a prefix, in the order of their keys.
   *
   * @param prefix what the keys start with
   * @param limit how many rows at most; the last ones by key
   */
  CompletableFuture<List<Row>> scan(String prefix, int limit);

  /**
   * Applies a transaction whole or not at all.
   *
   * @param transaction conditions and writes
   * @return what became of it; fails with {@link PlatformException.Unknown} when the answer is lost
   */
  CompletableFuture<TransactionOutcome> transact(Transaction transaction);
}
