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
 * Enters each command in the table. Entries that could not be written are kept, up to a bound, and
 * written with the next one; writing an entry twice is harmless, since its key is its own.
 */
final class AuditTrail {
  private static final Logger LOGGER = LogManager.getLogger(AuditTrail.class);
  private static final int MAX_KEPT = 256;
  private static final long REPEAT_INTERVAL_MILLIS = 1_000;
  private static final String ANONYMOUS = "anonymous";
  private static final String UNAUTHENTICATED = "UNAUTHENTICATED";
  private static final TeamName NO_TEAM = new TeamName("none");

  private final TableService table;
  private final NodeId node;
  private final Clock clock;
  private final Deque<RowWrite> kept = new ArrayDeque<>();
  private final Map<Repeat, Long> lastEntered = new HashMap<>();
  private long entries;

  /** What makes two entries repeats of each other; bounded by the operators and commands. */
  private record Repeat(String actor, String command, String outcome) {}

  AuditTrail(TableService table, NodeId node, Clock clock) {
    this.table = table;
    this.node = node;
    this.clock = clock;
  }

  /** Enters a command; the future ends when the try to write it ended, and never fails. */
  CompletableFuture<Void> enter(Operator operator, String command, String outcome) {
    return write(operator.author().name(), operator.author().team(), command, outcome);
  }

  /** Enters a command that changes nothing; repeats within a second count as one. */
  void enterAsk(Operator operator, String command, String outcome) {
    if (firstInInterval(new Repeat(operator.author().name(), command, outcome))) {
      enter(operator, command, outcome);
    }
  }

  /** Enters a command without a valid token; repeats within a second count as one. */
  void enterAnonymous(String command) {
    if (firstInInterval(new Repeat(ANONYMOUS, command, UNAUTHENTICATED))) {
      write(ANONYMOUS, NO_TEAM, command, UNAUTHENTICATED);
    }
  }

  private synchronized boolean firstInInterval(Repeat repeat) {
    long nowMillis = clock.millis();
    Long lastMillis = lastEntered.get(repeat);
    if (lastMillis != null && nowMillis - lastMillis < REPEAT_INTERVAL_MILLIS) {
      return false;
    }
    lastEntered.put(repeat, nowMillis);
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
                LOGGER.warn("audit entries wait for the platform: {}", batch.size());
                keep(batch);
              }
              return null;
            });
  }

  private synchronized List<RowWrite> batch(long nowMillis, RowValue.Audit audit) {
    String id = node + "-" + entries++;
    List<RowWrite> batch = new ArrayList<>(kept);
    kept.clear();
    batch.add(new RowWrite.Put(AuditKeys.key(nowMillis, id), audit));
    return batch;
  }

  private synchronized void keep(List<RowWrite> batch) {
    kept.addAll(batch);
    while (kept.size() > MAX_KEPT) {
      kept.removeFirst();
    }
  }
}
