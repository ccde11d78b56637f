package io.hemlockbend.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.Transaction;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class ClaimCleanupTest {

  @Test
  void deletesAllExpiredRowsWithinTheRateLimitAndNoOthers() {
    TreeMap<RowKey, Row> table = new TreeMap<>();
    Random random = new Random(7);
    for (int i = 0; i < 400; i++) {
      IdempotencyKey key = new IdempotencyKey(Long.toHexString(random.nextLong()));
      long atMillis = i % 2 == 0 ? 0 : 1_000_000;
      RowValue claim = new RowValue.Claim(key, new NodeId("n"), atMillis);
      table.put(RowKey.claim(key), new Row(RowKey.claim(key), 3, claim));
    }
    ClaimCleanup cleanup = new ClaimCleanup(1_000_000, 100, 20, new Random(8));
    long now = 1_000_001;
    for (; now < 1_400_000; now += 50) {
      long at = now;
      cleanup
          .scanDue(now)
          .flatMap(prefix -> cleanup.scanned(last(table, prefix, 20), at))
          .ifPresent(transaction -> delete(table, transaction));
    }
    assertThat(table).hasSize(200);
    assertThat(table.values()).allMatch(row -> ((RowValue.Claim) row.value()).atMillis() > 0);
  }

  private static List<Row> last(TreeMap<RowKey, Row> table, String prefix, int limit) {
    return table.values().stream()
        .filter(row -> row.key().value().startsWith(prefix))
        .sorted(Comparator.comparing(Row::key).reversed())
        .limit(limit)
        .toList();
  }

  private static void delete(TreeMap<RowKey, Row> table, Transaction transaction) {
    assertThat(transaction.conditions())
        .allMatch(condition -> condition instanceof Condition.AtRevision at && at.revision() == 3);
    transaction.writes().forEach(write -> table.remove(write.key()));
  }
}
