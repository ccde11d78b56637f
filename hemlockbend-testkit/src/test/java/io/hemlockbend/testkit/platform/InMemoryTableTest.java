package io.hemlockbend.testkit.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.List;
import org.junit.jupiter.api.Test;

class InMemoryTableTest {
  private static final RowKey A = new RowKey("p/a");
  private static final RowKey B = new RowKey("p/b");
  private static final RowKey C = new RowKey("p/c");
  private static final RowValue VALUE = new RowValue.Lease(new NodeId("n"), 1, 2);

  private final InMemoryTable table = new InMemoryTable();

  private TransactionOutcome put(RowKey key, Condition... conditions) {
    return table.transact(
        new Transaction(List.of(conditions), List.of(new RowWrite.Put(key, VALUE))));
  }

  @Test
  void failedConditionWritesNothing() {
    put(A);
    Transaction mixed =
        new Transaction(
            List.of(new Condition.Absent(A), new Condition.Absent(B)),
            List.of(new RowWrite.Put(B, VALUE), new RowWrite.Delete(A)));
    assertThat(table.transact(mixed)).isEqualTo(new TransactionOutcome.Conflicted(List.of(A)));
    assertThat(table.read(B)).isEmpty();
    assertThat(table.writes()).isEqualTo(1);
  }

  @Test
  void revisionOfARecreatedRowIsNotReused() {
    put(A);
    long first = table.read(A).orElseThrow().revision();
    table.transact(new Transaction(List.of(), List.of(new RowWrite.Delete(A))));
    put(A);
    assertThat(put(A, new Condition.AtRevision(A, first)))
        .isEqualTo(new TransactionOutcome.Conflicted(List.of(A)));
  }

  @Test
  void scanReturnsTheLastRowsInOrder() {
    put(C);
    put(A);
    put(B);
    put(new RowKey("q"));
    assertThat(table.scan("p/", 2)).extracting(Row::key).containsExactly(B, C);
  }
}
