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
  // How long a key is protected: resends after this are new requests.
  private static final long RETENTION_MILLIS = 24 * 3_600_000L;

  // The share of the table's writes that the cleanup may take, in deletes each second.
  private static final int DELETES_PER_SECOND = 50;

  // How many rows one scan returns at most.
  private static final int SCAN_ROWS = 200;

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
   * Makes a cleanup with the usual bounds.
   *
   * @param random draws where it looks
   */
  public static ClaimCleanup cleanup(RandomGenerator random) {
    return new ClaimCleanup(RETENTION_MILLIS, DELETES_PER_SECOND, SCAN_ROWS, random);
  }

  void tick(long nowMillis) {
    cleanup.scanDue(nowMillis).ifPresent(this::scan);
  }

  private void scan(String prefix) {
    table
        .scan(prefix, SCAN_ROWS)
        .thenApplyAsync(rows -> cleanup.scanned(rows, clock.millis()), control)
        .thenAccept(found -> found.ifPresent(table::transact))
        .exceptionally(
            failure -> {
              LOGGER.debug("old claims were not deleted this time", failure);
              return null;
            });
  }
}
