package io.hemlockbend.testkit.upstream;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts runs by idempotency key; may be shared by upstreams. Safe for use by several threads. */
public final class RunLedger {
  private final Map<String, Integer> runsByKey = new ConcurrentSkipListMap<>();
  private final AtomicLong runs = new AtomicLong();

  /** Makes an empty ledger. */
  public RunLedger() {}

  /** Counts a run of a request without a key. */
  public void count() {
    runs.incrementAndGet();
  }

  /** Counts a run and returns how often its key was run, this one included. */
  public int count(String key) {
    count();
    return runsByKey.merge(key, 1, Integer::sum);
  }

  /** Returns how many requests were run. */
  public long runs() {
    return runs.get();
  }

  /** Returns how many keys were run. */
  public long keys() {
    return runsByKey.size();
  }

  /** Returns the keys that were run at least so often, in their order. */
  public List<RunReport.KeyRuns> keysRun(int atLeast) {
    return runsByKey.entrySet().stream()
        .filter(entry -> entry.getValue() >= atLeast)
        .map(entry -> new RunReport.KeyRuns(entry.getKey(), entry.getValue()))
        .toList();
  }
}
