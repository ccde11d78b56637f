package io.hemlockbend.core.retry;

/**
 * What is known of a request after a try that brought no whole answer.
 *
 * @param end how the try ended
 * @param safe whether the request may run more than once
 * @param number counts the tries of this send, from 1
 * @param brokenTries counts the tries of this send whose connection broke, this one included
 * @param earlierMayHaveRun whether an earlier try of this send may have run
 * @param deadlineMillis when the caller stops waiting, milliseconds since the epoch
 * @param expectedMillis how long another try is expected to take
 */
public record Attempt(
    AttemptEnd end,
    boolean safe,
    int number,
    int brokenTries,
    boolean earlierMayHaveRun,
    long deadlineMillis,
    long expectedMillis) {

  /** Returns whether any try of this send may have run. */
  boolean mayHaveRun() {
    return earlierMayHaveRun || end.mayHaveRun();
  }
}
