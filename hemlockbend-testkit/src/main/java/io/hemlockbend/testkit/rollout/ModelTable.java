package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** The table service in virtual time, with latency, outages and answers lost after a write. */
final class ModelTable {
  private static final long QUICK_MILLIS = 20;
  private static final long SLOW_MILLIS = 1_500;
  private static final double LOST_SHARE = 0.1;

  private final VirtualTime time;
  private final RandomGenerator random;
  private final Map<RowKey, Row> rows = new HashMap<>();
  private boolean slow;
  private boolean down;

  ModelTable(VirtualTime time, RandomGenerator random) {
    this.time = time;
    this.random = random;
  }

  void slow(boolean value) {
    slow = value;
  }

  void down(boolean value) {
    down = value;
  }

  Optional<Row> row(RowKey key) {
    return Optional.ofNullable(rows.get(key));
  }

  void read(RowKey key, Consumer<Optional<Row>> answer, Runnable unknown) {
    send(() -> row(key), answer, unknown);
  }

  void transact(Transaction transaction, Consumer<TransactionOutcome> answer, Runnable unknown) {
    send(() -> apply(transaction), answer, unknown);
  }

  private <T> void send(Supplier<T> operation, Consumer<T> answer, Runnable unknown) {
    time.after(
        delay(),
        () -> {
          if (down) {
            time.after(delay(), unknown);
            return;
          }
          T result = operation.get();
          boolean lost = slow && random.nextDouble() < LOST_SHARE;
          time.after(delay(), lost ? unknown : () -> answer.accept(result));
        });
  }

  private long delay() {
    return 1 + random.nextLong(slow ? SLOW_MILLIS : QUICK_MILLIS);
  }

  TransactionOutcome apply(Transaction transaction) {
    List<RowKey> failed =
        transaction.conditions().stream().filter(c -> !holds(c)).map(Condition::key).toList();
    if (!failed.isEmpty()) {
      return new TransactionOutcome.Conflicted(failed);
    }
    for (RowWrite write : transaction.writes()) {
      switch (write) {
        case RowWrite.Put put -> {
          long revision = row(put.key()).map(Row::revision).orElse(0L) + 1;
          rows.put(put.key(), new Row(put.key(), revision, put.value()));
        }
        case RowWrite.Delete delete -> rows.remove(delete.key());
      }
    }
    return new TransactionOutcome.Applied();
  }

  private boolean holds(Condition condition) {
    return switch (condition) {
      case Condition.Absent absent -> !rows.containsKey(absent.key());
      case Condition.AtRevision at ->
          row(at.key()).map(Row::revision).filter(r -> r == at.revision()).isPresent();
    };
  }
}
