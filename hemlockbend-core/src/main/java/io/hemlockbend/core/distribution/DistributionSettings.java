package io.hemlockbend.core.distribution;

/**
 * Settings of the configuration distribution.
 *
 * @param readersPerDomain how many nodes of a failure domain read the table
 * @param readIntervalMillis how often each of these nodes reads
 * @param announceFanout how many random peers a node announces a new configuration to
 * @param pullTimeoutMillis how long a node waits for a peer's answer before it asks another
 * @param replicationTimeoutMillis how long a node waits until another node holds a configuration
 *     too, before it applies it anyway
 * @param startSpreadMillis the period over which the first reads of new processes are spread
 * @param settleMillis how long a new process listens to its peers before it serves without the
 *     table
 * @param peersNeeded how many peers must have reported a version by then, or all in a smaller mesh
 * @param historySteps how many change lists are kept to answer pulls
 */
public record DistributionSettings(
    int readersPerDomain,
    long readIntervalMillis,
    int announceFanout,
    long pullTimeoutMillis,
    long replicationTimeoutMillis,
    long startSpreadMillis,
    long settleMillis,
    int peersNeeded,
    int historySteps) {
  /** The defaults for meshes of up to a few thousand nodes. */
  public static final DistributionSettings DEFAULT =
      new DistributionSettings(2, 500, 6, 400, 1_000, 2_500, 3_000, 3, 64);
}
