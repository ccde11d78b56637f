package io.hemlockbend.core.evidence;

/**
 * Counts of completed calls.
 *
 * @param calls the number of completed calls
 * @param failures those that failed
 * @param slowCalls those that took longer than the latency bound
 * @param totalMillis the sum of their service times
 */
public record Counts(long calls, long failures, long slowCalls, double totalMillis) {
  /** No calls. */
  public static final Counts NONE = new Counts(0, 0, 0, 0);

  /** Returns the sum of both counts. */
  public Counts plus(Counts other) {
    return new Counts(
        calls + other.calls,
        failures + other.failures,
        slowCalls + other.slowCalls,
        totalMillis + other.totalMillis);
  }

  /** Returns the mean service time, zero without calls. */
  public double meanMillis() {
    return calls == 0 ? 0 : totalMillis / calls;
  }

  /** Returns the share of calls that failed, zero without calls. */
  public double failureShare() {
    return calls == 0 ? 0 : (double) failures / calls;
  }
}
