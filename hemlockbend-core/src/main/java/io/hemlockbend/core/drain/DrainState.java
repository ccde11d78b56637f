package io.hemlockbend.core.drain;

/** Progress of a drain. */
public sealed interface DrainState {

  /** No drain was requested; new work is accepted. */
  record Serving() implements DrainState {}

  /**
   * New work is refused; requests in flight may finish.
   *
   * @param inFlight the number of running requests
   * @param boundMillis when the wait ends, milliseconds since the epoch
   */
  record Draining(int inFlight, long boundMillis) implements DrainState {}

  /**
   * The drain is complete.
   *
   * @param cut the number of requests still running at the bound; 0 after a graceful drain
   */
  record Done(int cut) implements DrainState {}
}
