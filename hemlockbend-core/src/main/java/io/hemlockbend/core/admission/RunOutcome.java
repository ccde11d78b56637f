package io.hemlockbend.core.admission;

/** How a request with a permit ended. */
public enum RunOutcome {
  /** The request was not sent to the upstream. */
  NOT_SENT,
  /** The complete answer arrived. */
  ANSWERED,
  /** The upstream answered with an error. */
  FAILED,
  /** The upstream answered that it is overloaded. */
  OVERLOADED,
  /** The connection broke before the complete answer arrived. */
  BROKEN,
  /** The answer was not complete in time; the upstream was told to cancel. */
  TIMED_OUT,
  /** The caller disconnected; the upstream was told to cancel. */
  CANCELLED;

  /** Returns whether the upstream may still be working on the request. */
  boolean mayStillRun() {
    return this == TIMED_OUT || this == CANCELLED;
  }

  /** Returns whether the service time is a valid sample of the upstream's speed. */
  boolean timed() {
    return this == ANSWERED || this == TIMED_OUT;
  }
}
