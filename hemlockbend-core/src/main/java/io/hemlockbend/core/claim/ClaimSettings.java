package io.hemlockbend.core.claim;

/**
 * Limits of the ledger.
 *
 * @param batchWindowMillis the time for which the first claim of a batch waits for others
 * @param maxBatchRows the maximum number of claims in a batch
 * @param maxBatchesInFlight the maximum number of batches that await a response
 * @param maxPending the maximum number of pending claims
 * @param maxClaimAgeMillis the maximum age of a claim, when its response is processed, at which it
 *     may still run
 * @param settledRetentionMillis the retention period of settled requests
 * @param maxSettledEntries the maximum number of settled requests that are retained
 * @param maxResponseBytes the maximum body size of a stored response
 * @param maxStoredBytes the maximum total size of the stored responses
 */
public record ClaimSettings(
    long batchWindowMillis,
    int maxBatchRows,
    int maxBatchesInFlight,
    int maxPending,
    long maxClaimAgeMillis,
    long settledRetentionMillis,
    int maxSettledEntries,
    int maxResponseBytes,
    int maxStoredBytes) {
  /** The default limits. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(5, 50, 2, 200, 2_000, 600_000, 20_000, 65_536, 8_388_608);
}
