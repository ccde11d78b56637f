package io.hemlockbend.core.retry;

/** What the entry does after an attempt without a complete answer. */
public sealed interface RetryDecision {

  /**
   * Send the request to another upstream.
   *
   * @param exclusion what is excluded in addition to earlier exclusions
   * @param alone whether the request must run alone, since it may have crashed the upstream
   */
  record RetryElsewhere(Exclusion exclusion, boolean alone) implements RetryDecision {}

  /**
   * Report the outcome to the caller.
   *
   * @param outcome the outcome over all attempts of this send
   * @param status the HTTP status
   * @param reason the value of the reason header
   */
  record GiveUp(ReportedOutcome outcome, int status, String reason) implements RetryDecision {}

  /** Abort the caller's connection, since a part of a truncated answer was sent on it. */
  record AbortCaller() implements RetryDecision {}
}
