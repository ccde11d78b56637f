package io.hemlockbend.core.traffic;

/** Whether a request may be retried if the outcome of an earlier attempt is unknown. */
public enum RetrySemantics {
  /** The request may run more than once. */
  IDEMPOTENT,
  /** The request may run at most once. */
  AT_MOST_ONCE
}
