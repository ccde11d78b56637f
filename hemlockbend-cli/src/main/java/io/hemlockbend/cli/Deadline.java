package io.hemlockbend.cli;

/**
 * The deadline of a move.
 *
 * @param millis milliseconds since the epoch
 */
record Deadline(long millis) {
  /** Returns the current time, to which durations are added, milliseconds since the epoch. */
  static long now() {
    return System.currentTimeMillis();
  }
}
