package io.hemlockbend.core.retry;

/** What the entry does after a try that brought no whole answer. */
public sealed interface RetryDecision {

  /**
   * Choose again and send again.
   *
   * @param exclusion what the choice must keep away from, besides earlier exclusions
   * @param alone whether the request is sent as a suspect, since it may have crashed the upstream
   */
  record RetryElsewhere(Exclusion exclusion, boolean alone) implements RetryDecision {}

  /**
   * Tell the caller.
   *
   * @param word whether the request ran, over all tries of this send
   * @param status the HTTP status
   * @param reason why, for the reason header
   */
  record GiveUp(OutcomeWord word, int status, String reason) implements RetryDecision {}

  /** Abort the caller's connection, since a part of a broken answer has gone out on it. */
  record AbortCaller() implements RetryDecision {}
}
