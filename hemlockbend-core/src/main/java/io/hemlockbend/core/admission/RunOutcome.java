package io.hemlockbend.core.admission;

/** How a request ended that had a permit. */
public enum RunOutcome {
  /** Never sent to the upstream. */
  NOT_SENT,
  /** The whole answer came. */
  ANSWERED,
  /** The upstream answered that it failed. */
  FAILED,
  /** The upstream answered that it has too much work. */
  OVERLOADED,
  /** The connection broke before the whole answer came. */
  BROKEN,
  /** No whole answer came in time; the upstream was told to cancel. */
  TIMED_OUT,
  /** The caller went away; the upstream was told to cancel. */
  CANCELLED;

  /** Returns whether the upstream may still work on the request. */
  boolean mayStillRun() {
    return this == TIMED_OUT || this == CANCELLED;
  }

  /** Returns whether the service time tells how fast the upstream is. */
  boolean timed() {
    return this == ANSWERED || this == TIMED_OUT;
  }
}
