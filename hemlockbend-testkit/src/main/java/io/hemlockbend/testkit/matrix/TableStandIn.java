package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.claim.BatchOutcome;
import io.hemlockbend.core.claim.ReadOutcome;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The platform's table in memory: slow by a few milliseconds, with outages and lost answers. */
final class TableStandIn {

  /** How transactions fare. */
  enum Mode {
    UP,
    DOWN,
    ANSWER_LOST,
    LATE_WRITE
  }

  private static final long TIMEOUT_MILLIS = 150;
  private static final long LATE_MILLIS = 400;

  private final EventQueue queue;
  private final RandomGenerator random;
  private final Map<RowKey, Row> rows = new HashMap<>();
  private Mode mode = Mode.UP;

  TableStandIn(EventQueue queue, RandomGenerator random) {
    this.queue = queue;
    this.random = random;
  }

  void mode(Mode next) {
    mode = next;
  }

  void transact(Transaction transaction, Consumer<BatchOutcome> answer) {
    long delay = 3 + random.nextInt(8);
    switch (mode) {
      case UP ->
          queue.in(
              delay,
              () -> {
                BatchOutcome outcome = new BatchOutcome.Answered(apply(transaction));
                queue.in(2, () -> answer.accept(outcome));
                queue.in(2 + random.nextInt(40), () -> answer.accept(outcome));
              });
      case DOWN -> {
        BatchOutcome outcome =
            random.nextBoolean() ? new BatchOutcome.NotApplied() : new BatchOutcome.Unknown();
        queue.in(delay, () -> answer.accept(outcome));
      }
      case ANSWER_LOST -> lose(transaction, delay, answer);
      case LATE_WRITE -> lose(transaction, LATE_MILLIS, answer);
      default -> throw new IllegalStateException("unknown mode " + mode);
    }
  }

  void read(RowKey key, Consumer<ReadOutcome> answer) {
    long delay = 2 + random.nextInt(5);
    if (mode == Mode.DOWN) {
      queue.in(delay, () -> answer.accept(new ReadOutcome.Failed()));
      return;
    }
    queue.in(
        delay,
        () -> {
          ReadOutcome outcome = new ReadOutcome.Read(Optional.ofNullable(rows.get(key)));
          queue.in(1, () -> answer.accept(outcome));
        });
  }

  private void lose(Transaction transaction, long delay, Consumer<BatchOutcome> answer) {
    queue.in(delay, () -> apply(transaction));
    queue.in(TIMEOUT_MILLIS, () -> answer.accept(new BatchOutcome.Unknown()));
  }

  private TransactionOutcome apply(Transaction transaction) {
    List<RowKey> failed = new ArrayList<>();
    for (Condition condition : transaction.conditions()) {
      Row row = rows.get(condition.key());
      boolean holds =
          switch (condition) {
            case Condition.Absent _ -> row == null;
            case Condition.AtRevision(RowKey _, long revision) ->
                row != null && row.revision() == revision;
          };
      if (!holds) {
        failed.add(condition.key());
      }
    }
    if (!failed.isEmpty()) {
      return new TransactionOutcome.Conflicted(failed);
    }
    for (RowWrite write : transaction.writes()) {
      switch (write) {
        case RowWrite.Put put ->
            rows.merge(
                put.key(),
                new Row(put.key(), 1, put.value()),
                (old, put1) -> new Row(old.key(), old.revision() + 1, put1.value()));
        case RowWrite.Delete delete -> rows.remove(delete.key());
      }
    }
    return new TransactionOutcome.Applied();
  }
}
