package io.hemlockbend.core.drain;

/** How far a drain is. */
public sealed interface DrainState {

  /** No drain was asked for; new work is taken. */
  record Serving() implements DrainState {}

  /**
   * No new work is taken; work in flight is waited for.
   *
   * @param inFlight how many requests run
   * @param boundMillis when the wait ends, milliseconds since the epoch
   */
  record Draining(int inFlight, long boundMillis) implements DrainState {}

  /**
   * The drain is over.
   *
   * @param cut how many requests still ran when the bound passed; 0 after a graceful drain
   */
  record Done(int cut) implements DrainState {}
}
