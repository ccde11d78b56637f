package io.hemlockbend.core.api;

/** The priority of a request; admission takes urgent requests first and sheds bulk ones first. */
public enum Priority {
  /** Such as safety checks: admitted first, shed last. */
  URGENT,
  /** Ordinary requests. */
  NORMAL,
  /** Requests that may wait: admitted last, shed first. */
  BULK
}
