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

/** An in-memory table of the platform, with a few milliseconds of latency and injected faults. */
final class FakeTable {

  /** The availability of the table. */
  enum Mode {
    /** No fault; the answer to a transaction is delivered twice. */
    UP,
    /** No transaction is applied and no row is read. */
    DOWN,
    /** Transactions are applied, but their answers are lost. */
    ANSWER_LOST,
    /** Transactions are applied after their callers have timed out. */
    LATE_WRITE
  }

  private static final long TIMEOUT_MILLIS = 150;
  private static final long LATE_WRITE_MILLIS = 400;

  private final EventQueue queue;
  private final RandomGenerator random;
  private final Map<RowKey, Row> rows = new HashMap<>();
  private Mode mode = Mode.UP;

  FakeTable(EventQueue queue, RandomGenerator random) {
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
          queue.schedule(
              delay,
              () -> {
                BatchOutcome outcome = new BatchOutcome.Answered(apply(transaction));
                queue.schedule(2, () -> answer.accept(outcome));
                queue.schedule(2 + random.nextInt(40), () -> answer.accept(outcome));
              });
      case DOWN -> {
        BatchOutcome outcome =
            random.nextBoolean() ? new BatchOutcome.NotApplied() : new BatchOutcome.Unknown();
        queue.schedule(delay, () -> answer.accept(outcome));
      }
      case ANSWER_LOST -> applyWithoutAnswer(transaction, delay, answer);
      case LATE_WRITE -> applyWithoutAnswer(transaction, LATE_WRITE_MILLIS, answer);
      default -> throw new IllegalStateException("unknown mode " + mode);
    }
  }

  void read(RowKey key, Consumer<ReadOutcome> answer) {
    long delay = 2 + random.nextInt(5);
    if (mode == Mode.DOWN) {
      queue.schedule(delay, () -> answer.accept(new ReadOutcome.Failed()));
      return;
    }
    queue.schedule(
        delay,
        () -> {
          ReadOutcome outcome = new ReadOutcome.Read(Optional.ofNullable(rows.get(key)));
          queue.schedule(1, () -> answer.accept(outcome));
        });
  }

  private void applyWithoutAnswer(
      Transaction transaction, long delay, Consumer<BatchOutcome> answer) {
    queue.schedule(delay, () -> apply(transaction));
    queue.schedule(TIMEOUT_MILLIS, () -> answer.accept(new BatchOutcome.Unknown()));
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
                (old, written) -> new Row(old.key(), old.revision() + 1, written.value()));
        case RowWrite.Delete delete -> rows.remove(delete.key());
      }
    }
    return new TransactionOutcome.Applied();
  }
}
