package io.hemlockbend.testkit.upstream;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts runs by idempotency key; may be shared by upstreams. Thread-safe. */
public final class RunLedger {
  private final Map<String, Integer> runsByKey = new ConcurrentSkipListMap<>();
  private final AtomicLong runs = new AtomicLong();

  /** Creates an empty ledger. */
  public RunLedger() {}

  /** Counts a run of a request without a key. */
  public void count() {
    runs.incrementAndGet();
  }

  /** Counts a run and returns the number of runs of its key, this one included. */
  public int count(String key) {
    count();
    return runsByKey.merge(key, 1, Integer::sum);
  }

  /** Returns the number of runs, with and without a key. */
  public long runs() {
    return runs.get();
  }

  /** Returns the number of distinct keys that were run. */
  public long keys() {
    return runsByKey.size();
  }

  /** Returns the keys with at least that many runs, in ascending order. */
  public List<RunReport.KeyRuns> keysRun(int minRuns) {
    return runsByKey.entrySet().stream()
        .filter(entry -> entry.getValue() >= minRuns)
        .map(entry -> new RunReport.KeyRuns(entry.getKey(), entry.getValue()))
        .toList();
  }
}
