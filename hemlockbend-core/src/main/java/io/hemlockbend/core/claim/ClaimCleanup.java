package io.hemlockbend.core.claim;

import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Deletes expired claim rows at a limited rate. The table lists rows by prefix only, so the cleanup
 * samples: when a scan reaches its limit without an expired row, it appends a random character to
 * the prefix. A key is protected for the retention period only; after that, the same key is a new
 * request.
 *
 * <p>One node of the mesh runs it. Each delete is conditional on the revision that was read.
 */
public final class ClaimCleanup {
  private static final String KEY_CHARACTERS =
      "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ._:-";
  private static final int MAX_PREFIX_LENGTH = RowKey.CLAIM_PREFIX.length() + 64;
  private static final long MIN_PAUSE_MILLIS = 100;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final long retentionMillis;
  private final int deletesPerSecond;
  private final int scanLimit;
  private final RandomGenerator random;
  private String prefix = RowKey.CLAIM_PREFIX;
  private long nextScanMillis;

  /**
   * Creates a cleanup that starts with the prefix of all claims.
   *
   * @param retentionMillis the time for which a claim protects its key
   * @param deletesPerSecond the maximum average rate of deletions
   * @param scanLimit the maximum number of rows that a scan returns
   * @param random draws the prefixes
   */
  public ClaimCleanup(
      long retentionMillis, int deletesPerSecond, int scanLimit, RandomGenerator random) {
    this.retentionMillis = retentionMillis;
    this.deletesPerSecond = deletesPerSecond;
    this.scanLimit = scanLimit;
    this.random = random;
  }

  /** Returns the prefix to scan, or empty when the rate limit does not allow a scan yet. */
  public Optional<String> scanDue(long nowMillis) {
    if (nowMillis < nextScanMillis) {
      return Optional.empty();
    }
    nextScanMillis = nowMillis + MIN_PAUSE_MILLIS;
    return Optional.of(prefix);
  }

  /**
   * Returns the transaction that deletes the expired rows of a scan, or empty when none expired.
   */
  public Optional<Transaction> scanned(List<Row> rows, long nowMillis) {
    List<Condition> conditions = new ArrayList<>();
    List<RowWrite> writes = new ArrayList<>();
    for (Row row : rows) {
      if (expired(row, nowMillis)) {
        conditions.add(new Condition.AtRevision(row.key(), row.revision()));
        writes.add(new RowWrite.Delete(row.key()));
      }
    }
    long pauseMillis = writes.size() * MILLIS_PER_SECOND / deletesPerSecond;
    nextScanMillis = nowMillis + Math.max(MIN_PAUSE_MILLIS, pauseMillis);
    if (!writes.isEmpty()) {
      return Optional.of(new Transaction(conditions, writes));
    }
    choosePrefix(rows.size());
    return Optional.empty();
  }

  private boolean expired(Row row, long nowMillis) {
    return row.value() instanceof RowValue.Claim claim
        && nowMillis - claim.atMillis() > retentionMillis;
  }

  private void choosePrefix(int found) {
    if (found < scanLimit || prefix.length() >= MAX_PREFIX_LENGTH) {
      prefix = RowKey.CLAIM_PREFIX;
      return;
    }
    prefix += KEY_CHARACTERS.charAt(random.nextInt(KEY_CHARACTERS.length()));
  }
}
