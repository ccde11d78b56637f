package io.hemlockbend.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.claim.ClaimRefusal;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
  private static final AttemptEnd FULL = new AttemptEnd.Refused(RefusalReason.QUEUE_FULL);
  private static final AttemptEnd BROKEN = new AttemptEnd.Broken(false);

  private final RetryBudget budget = new RetryBudget(0.1, 1, 0);

  @Test
  void retriesIdempotentRequestsAndOthersOnlyIfNothingRan() {
    for (int call = 0; call < 100; call++) {
      budget.recordCall();
    }
    assertThat(decide(BROKEN, true, 1))
        .isEqualTo(new RetryDecision.RetryElsewhere(Exclusion.UPSTREAM, true));
    assertThat(decide(BROKEN, false, 1))
        .isEqualTo(
            new RetryDecision.GiveUp(ReportedOutcome.MAY_HAVE_RUN, 502, "connection-broken"));
    assertThat(decide(new AttemptEnd.TimedOut(), false, 1))
        .isEqualTo(new RetryDecision.GiveUp(ReportedOutcome.MAY_HAVE_RUN, 504, "timed-out"));
    assertThat(decide(new AttemptEnd.Refused(RefusalReason.DOMAIN_WITHDRAWN), false, 1))
        .isEqualTo(new RetryDecision.RetryElsewhere(Exclusion.FAILURE_DOMAIN, false));
    assertThat(decide(new AttemptEnd.Refused(RefusalReason.VERSION_BRAKED), false, 1))
        .isEqualTo(new RetryDecision.RetryElsewhere(Exclusion.VERSION, false));
  }

  @Test
  void refusalAfterAnAttemptThatMayHaveRunIsNotReportedAsNotRun() {
    Attempt attempt = new Attempt(FULL, true, 3, 0, true, 1_000, 10);
    assertThat(RetryPolicy.decide(attempt, budget, 0))
        .isEqualTo(new RetryDecision.GiveUp(ReportedOutcome.MAY_HAVE_RUN, 502, "queue-full"));
  }

  @Test
  void neverRetriesPastTheDeadlineOrInQuarantineOrAfterASecondBreak() {
    Attempt late = new Attempt(FULL, true, 1, 0, false, 15, 10);
    assertThat(RetryPolicy.decide(late, budget, 6)).isInstanceOf(RetryDecision.GiveUp.class);
    assertThat(decide(new AttemptEnd.Refused(RefusalReason.QUARANTINED), true, 1))
        .isEqualTo(new RetryDecision.GiveUp(ReportedOutcome.NOT_RUN, 503, "quarantined"));
    assertThat(decide(new AttemptEnd.Broken(true), true, 1))
        .isInstanceOf(RetryDecision.GiveUp.class);
    Attempt second = new Attempt(BROKEN, true, 2, 2, true, 1_000, 10);
    assertThat(RetryPolicy.decide(second, budget, 0)).isInstanceOf(RetryDecision.GiveUp.class);
  }

  @Test
  void reportsDuplicatesAndFailedClaimsWithTheirOwnOutcomes() {
    assertThat(decide(new AttemptEnd.Duplicate(ReportedOutcome.IN_PROGRESS), false, 1))
        .isEqualTo(new RetryDecision.GiveUp(ReportedOutcome.IN_PROGRESS, 409, "duplicate"));
    assertThat(decide(new AttemptEnd.NotClaimed(ClaimRefusal.PLATFORM_AWAY), false, 1))
        .isEqualTo(new RetryDecision.GiveUp(ReportedOutcome.NOT_RUN, 503, "platform-away"));
    assertThat(decide(new AttemptEnd.KeyReused(), false, 1))
        .isEqualTo(new RetryDecision.GiveUp(ReportedOutcome.NOT_RUN, 422, "key-reused"));
    assertThat(decide(new AttemptEnd.Truncated(true), true, 1))
        .isEqualTo(new RetryDecision.AbortCaller());
  }

  @Test
  void budgetLimitsRetriesToAShareOfCalls() {
    int retries = 0;
    for (int call = 0; call < 1_000; call++) {
      budget.recordCall();
      retries += decide(BROKEN, true, 1) instanceof RetryDecision.RetryElsewhere ? 1 : 0;
    }
    assertThat(retries).isBetween(99, 101);
  }

  @Test
  void closedUpstreamsUseNoBudgetAndAttemptsAreBounded() {
    AttemptEnd draining = new AttemptEnd.Refused(RefusalReason.DRAINING);
    assertThat(IntStream.range(0, 50).mapToObj(i -> decide(draining, false, 1)))
        .allMatch(decision -> decision instanceof RetryDecision.RetryElsewhere);
    assertThat(decide(draining, false, 3)).isInstanceOf(RetryDecision.GiveUp.class);
  }

  private RetryDecision decide(AttemptEnd end, boolean idempotent, int number) {
    int broken = end instanceof AttemptEnd.Broken ? 1 : 0;
    return RetryPolicy.decide(
        new Attempt(end, idempotent, number, broken, false, 1_000, 10), budget, 0);
  }
}
