package io.hemlockbend.core.retry;

/**
 * State of a request after an attempt without a complete answer.
 *
 * @param end how the attempt ended
 * @param idempotent whether the request may run more than once
 * @param number the number of the attempt within this send, from 1
 * @param brokenAttempts attempts of this send whose connection broke, including this one
 * @param earlierMayHaveRun whether an earlier attempt of this send may have run
 * @param deadlineMillis the caller's deadline, milliseconds since the epoch
 * @param expectedMillis expected duration of another attempt
 */
public record Attempt(
    AttemptEnd end,
    boolean idempotent,
    int number,
    int brokenAttempts,
    boolean earlierMayHaveRun,
    long deadlineMillis,
    long expectedMillis) {

  /** Returns whether any attempt of this send may have run. */
  boolean mayHaveRun() {
    return earlierMayHaveRun || end.mayHaveRun();
  }
}
