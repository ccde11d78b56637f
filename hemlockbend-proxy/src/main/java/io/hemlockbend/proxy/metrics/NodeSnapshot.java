package io.hemlockbend.proxy.metrics;

import java.util.Map;

/**
 * The counts of a node at one moment.
 *
 * @param byStatus callers' requests that ended, by status
 * @param byOutcome callers' requests that ended, by what decided it
 * @param latency callers' requests that ended, by bucket of latency
 * @param latencySumMillis the sum of all latencies
 * @param placements how often requests were placed on an upstream
 * @param connections connections opened to the upstream
 * @param open callers' requests under way
 * @param running requests that the upstream runs
 * @param queued requests that wait for the upstream
 * @param limit how many it may run at once
 * @param configuration the version in force; -1 without one
 * @param peersAlive other nodes that answer
 * @param storeCalls calls of the platform's store
 * @param linesDropped log lines that found the queue full
 * @param use what its process and its links are used for
 */
public record NodeSnapshot(
    Map<Integer, Long> byStatus,
    Map<String, Long> byOutcome,
    long[] latency,
    long latencySumMillis,
    long placements,
    long connections,
    int open,
    int running,
    int queued,
    int limit,
    long configuration,
    int peersAlive,
    long storeCalls,
    long linesDropped,
    ProcessUse use) {
  /** Nothing was counted yet. */
  static final NodeSnapshot EMPTY =
      new NodeSnapshot(
          Map.of(), Map.of(), new long[0], 0, 0, 0, 0, 0, 0, 0, -1, 0, 0, 0, ProcessUse.EMPTY);

  /** Returns how many requests ended within a bucket's bound. */
  double upTo(int bucket) {
    long sum = 0;
    for (int i = 0; i <= bucket && i < latency.length; i++) {
      sum += latency[i];
    }
    return sum;
  }
}
