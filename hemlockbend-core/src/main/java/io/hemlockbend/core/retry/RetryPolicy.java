package io.hemlockbend.core.retry;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.claim.ClaimRefusal;

/**
 * Decides whether a request is retried, and what is reported to its caller if not.
 *
 * <p>A request that must not run twice is retried only if no upstream got a byte of it. A refusal
 * by an upstream that accepts no work costs no work, so such a retry is not taken from the retry
 * budget; it is bounded by the number of attempts. All other retries use the budget. Retries
 * respect withdrawals and brakes: the failure domain or version is excluded. Quarantined requests,
 * and those that would miss their deadline, are not retried.
 *
 * <p>A request whose connection broke may have crashed the upstream, and the retry may be sent
 * before that crash is reported. The retry therefore runs alone on its upstream, and there is none
 * after a second break or one while it ran alone: one send crashes at most two upstreams, or one if
 * it is already suspect.
 */
public final class RetryPolicy {
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_BROKEN_ATTEMPTS = 2;

  private RetryPolicy() {}

  /**
   * Decides after an attempt without a complete answer.
   *
   * @param attempt the state of the request
   * @param budget the retry budget of the entry for the service
   * @param nowMillis the time
   */
  public static RetryDecision decide(Attempt attempt, RetryBudget budget, long nowMillis) {
    if (attempt.end() instanceof AttemptEnd.Truncated(boolean forwarded) && forwarded) {
      return new RetryDecision.AbortCaller();
    }
    if (retryable(attempt, nowMillis)
        && (exemptFromBudget(attempt.end()) || budget.tryAcquire(nowMillis))) {
      return new RetryDecision.RetryElsewhere(
          exclusion(attempt.end()), attempt.brokenAttempts() > 0);
    }
    return giveUp(attempt);
  }

  private static boolean retryable(Attempt attempt, long nowMillis) {
    boolean repeatable = attempt.idempotent() || !attempt.mayHaveRun();
    boolean inTime = nowMillis + attempt.expectedMillis() < attempt.deadlineMillis();
    return repeatable && inTime && attempt.number() < MAX_ATTEMPTS && worthRetrying(attempt);
  }

  private static boolean worthRetrying(Attempt attempt) {
    if (attempt.brokenAttempts() >= MAX_BROKEN_ATTEMPTS) {
      return false;
    }
    return switch (attempt.end()) {
      case AttemptEnd.Refused(RefusalReason reason) ->
          reason != RefusalReason.QUARANTINED && reason != RefusalReason.CANCELLED;
      case AttemptEnd.NotClaimed(ClaimRefusal reason) -> reason == ClaimRefusal.TOO_MANY_CLAIMS;
      case AttemptEnd.Duplicate _, AttemptEnd.KeyReused _, AttemptEnd.NoUpstream _ -> false;
      case AttemptEnd.Broken(boolean alone) -> !alone;
      case AttemptEnd.NotConnected _, AttemptEnd.TimedOut _ -> true;
      case AttemptEnd.Overloaded _, AttemptEnd.Truncated _ -> true;
    };
  }

  private static boolean exemptFromBudget(AttemptEnd end) {
    return end instanceof AttemptEnd.Refused(RefusalReason reason) && reason.closed();
  }

  private static Exclusion exclusion(AttemptEnd end) {
    return switch (end) {
      case AttemptEnd.Refused(RefusalReason reason) when reason == RefusalReason.DOMAIN_WITHDRAWN ->
          Exclusion.FAILURE_DOMAIN;
      case AttemptEnd.Refused(RefusalReason reason) when reason == RefusalReason.VERSION_BRAKED ->
          Exclusion.VERSION;
      default -> Exclusion.UPSTREAM;
    };
  }

  private static RetryDecision giveUp(Attempt attempt) {
    String reason = reason(attempt.end());
    if (!attempt.mayHaveRun()) {
      int status =
          attempt.end() instanceof AttemptEnd.KeyReused
              ? ResponseHeaders.KEY_REUSED_STATUS
              : ResponseHeaders.NOT_RUN_STATUS;
      return new RetryDecision.GiveUp(ReportedOutcome.NOT_RUN, status, reason);
    }
    return switch (attempt.end()) {
      case AttemptEnd.Duplicate(ReportedOutcome outcome) ->
          new RetryDecision.GiveUp(outcome, ResponseHeaders.DUPLICATE_STATUS, reason);
      case AttemptEnd.TimedOut _ -> mayHaveRun(ResponseHeaders.TIMED_OUT_STATUS, reason);
      default -> mayHaveRun(ResponseHeaders.BROKEN_STATUS, reason);
    };
  }

  private static RetryDecision mayHaveRun(int status, String reason) {
    return new RetryDecision.GiveUp(ReportedOutcome.MAY_HAVE_RUN, status, reason);
  }

  private static String reason(AttemptEnd end) {
    return switch (end) {
      case AttemptEnd.Refused(RefusalReason reason) -> reason.reasonToken();
      case AttemptEnd.NotClaimed(ClaimRefusal reason) -> reason.reasonToken();
      case AttemptEnd.Duplicate _ -> "duplicate";
      case AttemptEnd.KeyReused _ -> "key-reused";
      case AttemptEnd.NoUpstream _ -> "no-upstream";
      case AttemptEnd.NotConnected _ -> "not-connected";
      case AttemptEnd.Broken _ -> "connection-broken";
      case AttemptEnd.TimedOut _ -> "timed-out";
      case AttemptEnd.Overloaded _ -> "upstream-overloaded";
      case AttemptEnd.Truncated _ -> "answer-truncated";
    };
  }
}
