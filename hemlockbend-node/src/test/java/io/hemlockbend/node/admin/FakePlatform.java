package io.hemlockbend.node.admin;

import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import io.hemlockbend.platform.ObjectStore;
import io.hemlockbend.platform.PlatformException;
import io.hemlockbend.platform.TableService;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** In-memory table and object store that can be unreachable or lose responses after a write. */
final class FakePlatform implements TableService, ObjectStore {
  private final TreeMap<RowKey, Row> rows = new TreeMap<>();
  private final Map<Digest, Configuration> bodies = new HashMap<>();
  private boolean unreachable;
  private int responsesToLose;

  synchronized void setUnreachable(boolean value) {
    unreachable = value;
  }

  synchronized void loseResponses(int count) {
    responsesToLose = count;
  }

  synchronized <T extends RowValue> List<T> values(Class<T> type) {
    return rows.values().stream().map(Row::value).filter(type::isInstance).map(type::cast).toList();
  }

  private synchronized <T> CompletableFuture<T> respond(Supplier<T> work) {
    return unreachable
        ? CompletableFuture.failedFuture(
            new PlatformException.NotApplied("platform unreachable", null))
        : CompletableFuture.completedFuture(work.get());
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    return respond(() -> Optional.ofNullable(rows.get(key)));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String prefix, int limit) {
    return respond(
        () -> {
          List<Row> found =
              rows.values().stream().filter(row -> row.key().value().startsWith(prefix)).toList();
          return found.subList(Math.max(0, found.size() - limit), found.size());
        });
  }

  @Override
  public synchronized CompletableFuture<TransactionOutcome> transact(Transaction transaction) {
    CompletableFuture<TransactionOutcome> result = respond(() -> apply(transaction));
    boolean audit = transaction.conditions().isEmpty();
    if (responsesToLose > 0 && !audit) {
      responsesToLose--;
      return CompletableFuture.failedFuture(new PlatformException.Unknown("response lost", null));
    }
    return result;
  }

  private TransactionOutcome apply(Transaction transaction) {
    List<RowKey> failed =
        transaction.conditions().stream().filter(c -> !holds(c)).map(Condition::key).toList();
    if (!failed.isEmpty()) {
      return new TransactionOutcome.Conflicted(failed);
    }
    transaction.writes().forEach(this::write);
    return new TransactionOutcome.Applied();
  }

  private boolean holds(Condition condition) {
    Row row = rows.get(condition.key());
    return switch (condition) {
      case Condition.Absent absent -> row == null;
      case Condition.AtRevision at -> row != null && row.revision() == at.revision();
    };
  }

  private void write(RowWrite write) {
    RowKey key = write.key();
    long revision = rows.containsKey(key) ? rows.get(key).revision() + 1 : 1;
    switch (write) {
      case RowWrite.Put put -> rows.put(key, new Row(key, revision, put.value()));
      case RowWrite.Delete delete -> rows.remove(key);
    }
  }

  @Override
  public CompletableFuture<Void> put(Digest digest, Configuration configuration) {
    return respond(
        () -> {
          bodies.put(digest, configuration);
          return null;
        });
  }

  @Override
  public CompletableFuture<Optional<Configuration>> fetch(Digest digest) {
    return respond(() -> Optional.ofNullable(bodies.get(digest)));
  }
}
