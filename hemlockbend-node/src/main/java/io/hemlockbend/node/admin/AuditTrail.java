package io.hemlockbend.node.admin;

import io.hemlockbend.core.acceptance.AuditKeys;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.platform.TableService;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Records each command in the platform's table. Records that could not be written stay pending, up
 * to {@link #MAX_PENDING}, and are written together with the next one. Writing a record twice is
 * harmless, since its key is unique.
 */
final class AuditTrail {
  private static final Logger LOGGER = LogManager.getLogger(AuditTrail.class);
  private static final int MAX_PENDING = 256;
  private static final long DEDUPLICATION_MILLIS = 1_000;
  private static final String ANONYMOUS = "anonymous";
  private static final String UNAUTHENTICATED = "UNAUTHENTICATED";
  private static final TeamName NO_TEAM = new TeamName("none");

  private final TableService table;
  private final NodeId node;
  private final Clock clock;
  private final Deque<RowWrite> pending = new ArrayDeque<>();
  private final Map<RepeatKey, Long> lastRecorded = new HashMap<>();
  private long nextId;

  /** Identifies repeated records; the number of keys is bounded by operators and commands. */
  private record RepeatKey(String actor, String command, String outcome) {}

  AuditTrail(TableService table, NodeId node, Clock clock) {
    this.table = table;
    this.node = node;
    this.clock = clock;
  }

  /** Records a command; the future completes after the write attempt and never fails. */
  CompletableFuture<Void> recordCommand(Operator operator, String command, String outcome) {
    return write(operator.author().name(), operator.author().team(), command, outcome);
  }

  /** Records a read-only command; repeats within one second are recorded once. */
  void recordQuery(Operator operator, String command, String outcome) {
    if (firstInInterval(new RepeatKey(operator.author().name(), command, outcome))) {
      recordCommand(operator, command, outcome);
    }
  }

  /** Records a command without a valid token; repeats within one second are recorded once. */
  void recordAnonymous(String command) {
    if (firstInInterval(new RepeatKey(ANONYMOUS, command, UNAUTHENTICATED))) {
      write(ANONYMOUS, NO_TEAM, command, UNAUTHENTICATED);
    }
  }

  private synchronized boolean firstInInterval(RepeatKey key) {
    long nowMillis = clock.millis();
    Long lastMillis = lastRecorded.get(key);
    if (lastMillis != null && nowMillis - lastMillis < DEDUPLICATION_MILLIS) {
      return false;
    }
    lastRecorded.put(key, nowMillis);
    return true;
  }

  private CompletableFuture<Void> write(
      String actor, TeamName team, String command, String outcome) {
    long nowMillis = clock.millis();
    RowValue.Audit audit = new RowValue.Audit(actor, team, command, outcome, nowMillis);
    List<RowWrite> batch = batch(nowMillis, audit);
    return table
        .transact(new Transaction(List.of(), batch))
        .handle(
            (done, failure) -> {
              if (failure != null) {
                LOGGER.warn(
                    "could not write {} audit records; retrying with the next command",
                    batch.size());
                requeue(batch);
              }
              return null;
            });
  }

  private synchronized List<RowWrite> batch(long nowMillis, RowValue.Audit audit) {
    String id = node + "-" + nextId++;
    List<RowWrite> batch = new ArrayList<>(pending);
    pending.clear();
    batch.add(new RowWrite.Put(AuditKeys.key(nowMillis, id), audit));
    return batch;
  }

  private synchronized void requeue(List<RowWrite> batch) {
    pending.addAll(batch);
    while (pending.size() > MAX_PENDING) {
      pending.removeFirst();
    }
  }
}
