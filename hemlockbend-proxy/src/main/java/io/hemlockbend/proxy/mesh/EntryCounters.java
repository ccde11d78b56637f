package io.hemlockbend.proxy.mesh;

import java.util.Map;
import java.util.TreeMap;

/** Counts of an entry since its start; read and written on the event loop's thread. */
public final class EntryCounters {
  /** The upper bounds of the latency histogram's buckets, in milliseconds. */
  public static final long[] BUCKETS_MILLIS = {5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200};

  long placed;
  private final Map<Integer, Long> byStatus = new TreeMap<>();
  private final Map<String, Long> byOutcome = new TreeMap<>();
  private final long[] latency = new long[BUCKETS_MILLIS.length + 1];
  private long latencySumMillis;

  void ended(int status, EntryOutcome outcome, long tookMillis) {
    byStatus.merge(status, 1L, Long::sum);
    byOutcome.merge(outcome.word(), 1L, Long::sum);
    int bucket = 0;
    while (bucket < BUCKETS_MILLIS.length && tookMillis > BUCKETS_MILLIS[bucket]) {
      bucket++;
    }
    latency[bucket]++;
    latencySumMillis += tookMillis;
  }

  /** Returns how often requests were placed on an upstream. */
  public long placements() {
    return placed;
  }

  /** Returns how many requests ended, by status; 0 stands for callers that left. */
  public Map<Integer, Long> byStatus() {
    return byStatus;
  }

  /** Returns how many requests ended, by outcome. */
  public Map<String, Long> byOutcome() {
    return byOutcome;
  }

  /** Returns how many requests ended, by bucket of their latency; the last one has no bound. */
  public long[] latency() {
    return latency.clone();
  }

  /** Returns the sum of all latencies, in milliseconds. */
  public long latencySumMillis() {
    return latencySumMillis;
  }
}
