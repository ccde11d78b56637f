package io.hemlockbend.testkit.upstream;

import java.util.List;

/**
 * The requests that an upstream ran.
 *
 * @param runs the number of requests run
 * @param keys the number of distinct idempotency keys run
 * @param listed the keys that ran more than once, or all keys on request
 * @param coldOverloads the number of requests beyond its limit during a cold start
 * @param mostAtOnce the maximum number of requests in flight
 */
public record RunReport(
    long runs, long keys, List<KeyRuns> listed, long coldOverloads, int mostAtOnce) {
  /** Copies the list of keys. */
  public RunReport {
    listed = List.copyOf(listed);
  }

  /**
   * The number of runs of a key.
   *
   * @param key the idempotency key
   * @param runs the number of runs
   */
  public record KeyRuns(String key, int runs) {}
}
