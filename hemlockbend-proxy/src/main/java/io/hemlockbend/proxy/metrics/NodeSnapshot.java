package io.hemlockbend.proxy.metrics;

import java.util.Map;

/**
 * The counters and gauges of a node at one time.
 *
 * @param byStatus callers' requests that ended, by status; 0 if the caller disconnected
 * @param byOutcome callers' requests that ended, by what decided it
 * @param latency callers' requests that ended, by latency bucket; not cumulative
 * @param latencySumMillis the sum of their latencies
 * @param placements how often a request was placed on an upstream
 * @param connections connections opened to the upstream
 * @param open callers' requests in progress
 * @param running requests that the upstream runs
 * @param queued requests that wait for the upstream
 * @param limit the concurrency limit of the upstream
 * @param configuration the version of the current configuration; -1 if there is none
 * @param peersAlive other nodes that answer
 * @param orders the version of the operator's orders; -1 if there are none
 * @param store what the node knows of the platform's store
 * @param linesDropped log lines that were dropped
 * @param usage the resource usage of the process and its links
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
    long orders,
    StoreProgress store,
    long linesDropped,
    ProcessUsage usage) {
  /** The snapshot before the first scrape. */
  static final NodeSnapshot EMPTY =
      new NodeSnapshot(
          Map.of(),
          Map.of(),
          new long[0],
          0,
          0,
          0,
          0,
          0,
          0,
          0,
          -1,
          0,
          -1,
          StoreProgress.NONE,
          0,
          ProcessUsage.EMPTY);

  /** Returns how many requests ended within the upper bound of a bucket. */
  double cumulativeCount(int bucket) {
    long sum = 0;
    for (int i = 0; i <= bucket && i < latency.length; i++) {
      sum += latency[i];
    }
    return sum;
  }
}
