package io.hemlockbend.testkit.upstream;

import java.util.List;

/**
 * What an upstream ran.
 *
 * @param runs how many requests
 * @param keys how many idempotency keys
 * @param listed the keys that ran more than once, or all of them when asked for
 * @param coldOverloads how many requests were beyond what it bore in its cold start
 * @param mostAtOnce the most requests that were inside at once
 */
public record RunReport(
    long runs, long keys, List<KeyRuns> listed, long coldOverloads, int mostAtOnce) {
  /** Copies the list. */
  public RunReport {
    listed = List.copyOf(listed);
  }

  /**
   * How often a key was run.
   *
   * @param key the idempotency key
   * @param runs how often
   */
  public record KeyRuns(String key, int runs) {}
}
