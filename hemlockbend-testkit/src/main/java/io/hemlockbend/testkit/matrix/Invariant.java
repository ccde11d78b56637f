package io.hemlockbend.testkit.matrix;

/** The invariants that {@link TraceChecks} verifies in every run. */
enum Invariant {
  SLOTS_NOT_OVERRUN,
  AT_MOST_ONCE,
  NOT_RUN_IS_TRUE,
  NO_WORK_ONCE_CLOSED,
  DRAIN_CUTS_NOTHING,
  OWN_WHOLE_ANSWER,
  CRASHES_BOUNDED,
  INNOCENTS_NOT_QUARANTINED,
  EVERY_SEND_COMPLETED
}
