package io.hemlockbend.cli;

/**
 * When a move is due.
 *
 * @param millis milliseconds since the epoch
 */
record Deadline(long millis) {
  /** Returns the present time, from which durations count. */
  static long now() {
    return System.currentTimeMillis();
  }
}
