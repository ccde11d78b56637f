package io.hemlockbend.core.traffic;

/** Whether a request may be sent to an upstream again when the first run's outcome is unknown. */
public enum RepeatKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs once at most. */
  AT_MOST_ONCE
}
