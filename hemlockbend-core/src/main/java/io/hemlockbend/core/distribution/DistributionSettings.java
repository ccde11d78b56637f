package io.hemlockbend.core.distribution;

/**
 * Bounds of the distribution.
 *
 * @param readersPerDomain how many nodes of a failure domain read the table
 * @param readIntervalMillis how often each of them reads
 * @param announceFanout to how many random peers a node announces what it holds
 * @param pullTimeoutMillis how long a node waits for a peer's answer before it asks another
 * @param witnessTimeoutMillis how long a node waits for a second holder before it applies
 * @param startSpreadMillis over how long new processes spread their first read
 * @param settleMillis how long a new process hears its peers before it serves without the table
 * @param peersNeeded how many peers it must have heard by then, fewer in a smaller mesh
 * @param historySteps how many change lists are kept to answer pulls
 */
public record DistributionSettings(
    int readersPerDomain,
    long readIntervalMillis,
    int announceFanout,
    long pullTimeoutMillis,
    long witnessTimeoutMillis,
    long startSpreadMillis,
    long settleMillis,
    int peersNeeded,
    int historySteps) {
  /** The bounds for meshes of up to some thousand nodes. */
  public static final DistributionSettings DEFAULT =
      new DistributionSettings(2, 500, 6, 400, 1_000, 2_500, 3_000, 3, 64);
}
