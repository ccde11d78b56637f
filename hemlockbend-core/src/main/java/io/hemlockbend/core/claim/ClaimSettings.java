package io.hemlockbend.core.claim;

/**
 * Bounds of the ledger.
 *
 * @param batchWindowMillis how long the first claim of a batch waits for others
 * @param maxBatchRows how many claims one transaction carries at most
 * @param maxBatchesInFlight how many transactions wait for their answers at most
 * @param maxPending how many claims wait for the table at most
 * @param maxClaimAgeMillis how old a claim may be when its answer is processed, to be run
 * @param keepMillis how long a settled request is remembered
 * @param maxRemembered how many settled requests are remembered at most
 * @param maxAnswerBytes how large an answer may be to be kept
 * @param maxTotalBytes how much all kept answers take
 */
public record ClaimSettings(
    long batchWindowMillis,
    int maxBatchRows,
    int maxBatchesInFlight,
    int maxPending,
    long maxClaimAgeMillis,
    long keepMillis,
    int maxRemembered,
    int maxAnswerBytes,
    int maxTotalBytes) {
  /** The usual bounds. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(5, 50, 2, 200, 2_000, 600_000, 20_000, 65_536, 8_388_608);
}
