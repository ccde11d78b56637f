package io.hemlockbend.core.retry;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.claim.ClaimRefusal;

/**
 * Decides whether a request is tried again and what its caller is told if not.
 *
 * <p>A request that may not be repeated is tried again only if no upstream got a byte of it. A try
 * that a closed upstream refused costs no upstream any work, so that its retry needs no budget; it
 * is bounded by the number of tries. All other retries come out of the budget. A retry never goes
 * against a withdrawal or brake: the next choice excludes the failure domain or version. A
 * quarantined request, and one past its deadline, is not tried again.
 *
 * <p>A request whose connection broke may have crashed the upstream, and the report of that crash
 * may come later than the retry. So the retry runs alone on its upstream; a second break, or one
 * while it ran alone, ends the tries: one send breaks two upstreams at most, and a known suspect
 * one.
 */
public final class RetryPolicy {
  private static final int MAX_TRIES = 3;
  private static final int MAX_BROKEN_TRIES = 2;

  private RetryPolicy() {}

  /**
   * Decides after a try that brought no whole answer.
   *
   * @param attempt what is known of the request
   * @param budget the retries left for the entry and service
   * @param nowMillis the time
   */
  public static RetryDecision decide(Attempt attempt, RetryBudget budget, long nowMillis) {
    if (attempt.end() instanceof AttemptEnd.Truncated(boolean forwarded) && forwarded) {
      return new RetryDecision.AbortCaller();
    }
    if (mayTryAgain(attempt, nowMillis) && (free(attempt.end()) || budget.take(nowMillis))) {
      return new RetryDecision.RetryElsewhere(exclusion(attempt.end()), attempt.brokenTries() > 0);
    }
    return giveUp(attempt);
  }

  private static boolean mayTryAgain(Attempt attempt, long nowMillis) {
    boolean repeatable = attempt.safe() || !attempt.mayHaveRun();
    boolean inTime = nowMillis + attempt.expectedMillis() < attempt.deadlineMillis();
    return repeatable && inTime && attempt.number() < MAX_TRIES && sensible(attempt);
  }

  private static boolean sensible(Attempt attempt) {
    if (attempt.brokenTries() >= MAX_BROKEN_TRIES) {
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

  private static boolean free(AttemptEnd end) {
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
      return new RetryDecision.GiveUp(OutcomeWord.NOT_RUN, status, reason);
    }
    return switch (attempt.end()) {
      case AttemptEnd.Duplicate(OutcomeWord word) ->
          new RetryDecision.GiveUp(word, ResponseHeaders.DUPLICATE_STATUS, reason);
      case AttemptEnd.TimedOut _ -> mayHaveRun(ResponseHeaders.TIMED_OUT_STATUS, reason);
      default -> mayHaveRun(ResponseHeaders.BROKEN_STATUS, reason);
    };
  }

  private static RetryDecision mayHaveRun(int status, String reason) {
    return new RetryDecision.GiveUp(OutcomeWord.MAY_HAVE_RUN, status, reason);
  }

  private static String reason(AttemptEnd end) {
    return switch (end) {
      case AttemptEnd.Refused(RefusalReason reason) -> reason.word();
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
