package io.hemlockbend.node.rollout;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.claim.ClaimCleanup;
import io.hemlockbend.platform.TableService;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Deletes old claim rows while this node holds the rollout lease. Driven by the control thread. */
public final class ClaimCleanupDriver {
  // A resend with the same key after this time counts as a new request.
  private static final long RETENTION_MILLIS = 24 * 3_600_000L;

  // Limits the share of the table's write rate that the cleanup uses.
  private static final int DELETES_PER_SECOND = 50;

  private static final int MAX_SCAN_ROWS = 200;

  private static final Logger LOGGER = LogManager.getLogger(ClaimCleanupDriver.class);

  private final ClaimCleanup cleanup;
  private final TableService table;
  private final Executor control;
  private final Clock clock;

  ClaimCleanupDriver(ClaimCleanup cleanup, TableService table, Executor control, Clock clock) {
    this.cleanup = cleanup;
    this.table = table;
    this.control = control;
    this.clock = clock;
  }

  /**
   * Creates a cleanup with the default limits.
   *
   * @param random chooses the prefixes to scan
   */
  public static ClaimCleanup cleanup(RandomGenerator random) {
    return new ClaimCleanup(RETENTION_MILLIS, DELETES_PER_SECOND, MAX_SCAN_ROWS, random);
  }

  void tick(long nowMillis) {
    cleanup.scanDue(nowMillis).ifPresent(this::scan);
  }

  private void scan(String prefix) {
    table
        .scan(prefix, MAX_SCAN_ROWS)
        .thenApplyAsync(rows -> cleanup.scanned(rows, clock.millis()), control)
        .thenAccept(found -> found.ifPresent(table::transact))
        .exceptionally(
            failure -> {
              LOGGER.debug("scanning for old claims failed", failure);
              return null;
            });
  }
}
