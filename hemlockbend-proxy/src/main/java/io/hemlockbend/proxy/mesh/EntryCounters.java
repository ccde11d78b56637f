package io.hemlockbend.proxy.mesh;

import java.util.Map;
import java.util.TreeMap;

/** Counters of an entry since its start; read and written on the event loop's thread. */
public final class EntryCounters {
  /** The upper bounds of the latency histogram's buckets, in milliseconds. */
  public static final long[] BUCKETS_MILLIS = {5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200};

  long placements;
  private final Map<Integer, Long> byStatus = new TreeMap<>();
  private final Map<String, Long> byOutcome = new TreeMap<>();
  private final long[] latency = new long[BUCKETS_MILLIS.length + 1];
  private long latencySumMillis;

  void ended(int status, EntryOutcome outcome, long tookMillis) {
    byStatus.merge(status, 1L, Long::sum);
    byOutcome.merge(outcome.label(), 1L, Long::sum);
    int bucket = 0;
    while (bucket < BUCKETS_MILLIS.length && tookMillis > BUCKETS_MILLIS[bucket]) {
      bucket++;
    }
    latency[bucket]++;
    latencySumMillis += tookMillis;
  }

  /** Returns the number of times a request was sent to an upstream, retries included. */
  public long placements() {
    return placements;
  }

  /** Returns the number of ended requests by status; 0 means the caller disconnected. */
  public Map<Integer, Long> byStatus() {
    return byStatus;
  }

  /** Returns the number of ended requests by outcome. */
  public Map<String, Long> byOutcome() {
    return byOutcome;
  }

  /** Returns the number of ended requests by latency bucket; the last bucket is unbounded. */
  public long[] latency() {
    return latency.clone();
  }

  /** Returns the sum of all latencies, in milliseconds. */
  public long latencySumMillis() {
    return latencySumMillis;
  }
}
