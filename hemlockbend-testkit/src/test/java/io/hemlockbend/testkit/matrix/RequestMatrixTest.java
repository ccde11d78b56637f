package io.hemlockbend.testkit.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.admission.AdmissionSettings;
import io.hemlockbend.core.admission.PauseFence;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.claim.BatchOutcome;
import io.hemlockbend.core.drain.DrainTracker;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.retry.Attempt;
import io.hemlockbend.core.retry.OutcomeWord;
import io.hemlockbend.core.retry.RetryBudget;
import io.hemlockbend.core.retry.RetryDecision;
import io.hemlockbend.core.table.TransactionOutcome;
import io.hemlockbend.testkit.matrix.CallerRequest.Kind;
import io.hemlockbend.testkit.matrix.FaultPlan.Cell;
import io.hemlockbend.testkit.matrix.RequestMatrix.Result;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RequestMatrixTest {
  private static final int SEEDS = 2;
  private static final int BROKEN_SEEDS = 6;

  @ParameterizedTest
  @EnumSource(Fault.class)
  void everyLineHoldsAtEveryStep(Fault fault) {
    Result sum = RequestMatrix.NO_RUN;
    for (Step step : Step.values()) {
      sum = sum.plus(RequestMatrix.cell(new Cell(step, fault), SEEDS, Policies.CORE));
    }
    assertThat(sum.broken()).isEmpty();
    assertThat(sum.reached()).isGreaterThan(sum.runs() * 3 / 4);
  }

  @Test
  void catchesSlotsThatAreOverrun() {
    assertBreaks(
        Line.SLOTS_NOT_OVERRUN,
        Fault.FREEZE_UPSTREAM,
        new Policies() {
          @Override
          public AdmissionSettings admission(int slots) {
            return new AdmissionSettings(2 * slots, 2 * slots, slots, 100, 250);
          }
        });
  }

  @Test
  void catchesARequestThatIsRepeated() {
    assertBreaks(
        Line.AT_MOST_ONCE,
        Fault.LATE_ANSWER,
        new Policies() {
          @Override
          public RetryDecision decide(Attempt attempt, RetryBudget budget, long nowMillis) {
            return Policies.super.decide(changed(attempt, true, false), budget, nowMillis);
          }
        });
  }

  @Test
  void catchesAClaimThatWasNotWritten() {
    Policies trusting =
        new Policies() {
          @Override
          public BatchOutcome learned(BatchOutcome outcome) {
            return new BatchOutcome.Answered(new TransactionOutcome.Applied());
          }
        };
    List<Cell> cells =
        List.of(
            new Cell(Step.CLAIM, Fault.PLATFORM_DOWN),
            new Cell(Step.ANSWER_MIDDLE, Fault.KILL_NODE));
    Result broken = RequestMatrix.run(cells, Kind.KEYED, 1, trusting);
    assertThat(broken.broken()).containsKey(Line.AT_MOST_ONCE);
    assertThat(RequestMatrix.run(cells, Kind.KEYED, 1, Policies.CORE).broken()).isEmpty();
  }

  @Test
  void catchesARefusalWhoseNotRunIsFalse() {
    assertBreaks(
        Line.NOT_RUN_IS_TRUE,
        Fault.KILL_UPSTREAM,
        new Policies() {
          @Override
          public RetryDecision decide(Attempt attempt, RetryBudget budget, long nowMillis) {
            RetryDecision decision = Policies.super.decide(attempt, budget, nowMillis);
            return decision instanceof RetryDecision.GiveUp(var _, int status, String reason)
                ? new RetryDecision.GiveUp(OutcomeWord.NOT_RUN, status, reason)
                : decision;
          }
        });
  }

  @Test
  void catchesATryThatIsForgotten() {
    assertBreaks(
        Line.NOT_RUN_IS_TRUE,
        Fault.PAUSE_NODE_PAST_CLAIM,
        new Policies() {
          @Override
          public RetryDecision decide(Attempt attempt, RetryBudget budget, long nowMillis) {
            return Policies.super.decide(
                changed(attempt, attempt.idempotent(), false), budget, nowMillis);
          }
        });
  }

  @Test
  void catchesWorkThatIsTakenInADrain() {
    assertBreaks(
        Line.NO_WORK_ONCE_CLOSED,
        Fault.DRAIN,
        new Policies() {
          @Override
          public boolean refusesOnceClosed() {
            return false;
          }
        });
  }

  @Test
  void catchesWorkThatAWithdrawnDomainTakes() {
    Policies open =
        new Policies() {
          @Override
          public boolean refusesOnceClosed() {
            return false;
          }
        };
    assertBreaks(Line.NO_WORK_ONCE_CLOSED, Fault.WITHDRAW, open);
  }

  @Test
  void catchesAPausedNodeThatTakesWorkForAWithdrawnDomain() {
    List<Cell> cells =
        List.of(new Cell(Step.SEND, Fault.FREEZE_NODE), new Cell(Step.SEND, Fault.WITHDRAW));
    Policies unfenced =
        new Policies() {
          @Override
          public PauseFence fence(long nowMillis) {
            return new PauseFence(Long.MAX_VALUE, nowMillis);
          }
        };
    Result broken = RequestMatrix.NO_RUN;
    Result whole = RequestMatrix.NO_RUN;
    for (int seed = 1; seed <= BROKEN_SEEDS; seed++) {
      broken = broken.plus(RequestMatrix.run(cells, Kind.UNSAFE, seed, unfenced));
      whole = whole.plus(RequestMatrix.run(cells, Kind.UNSAFE, seed, Policies.CORE));
    }
    assertThat(broken.broken()).containsKey(Line.NO_WORK_ONCE_CLOSED);
    assertThat(whole.broken()).isEmpty();
  }

  @Test
  void catchesADrainThatCuts() {
    assertBreaks(
        Line.DRAIN_CUTS_NOTHING,
        Fault.DRAIN,
        new Policies() {
          @Override
          public DrainTracker drain() {
            return new DrainTracker(0, 0);
          }
        });
  }

  @Test
  void catchesAnAnswerThatReachesAnother() {
    assertBreaks(
        Line.OWN_WHOLE_ANSWER,
        Fault.FREEZE_NODE,
        new Policies() {
          @Override
          public boolean closesTimedOutConnections() {
            return false;
          }
        });
  }

  @Test
  void catchesARequestThatGoesOnCrashing() {
    assertBreaks(Line.CRASHES_BOUNDED, Fault.CRASHING_REQUEST, standing(Standing.CLEAR));
  }

  @Test
  void catchesInnocentsThatAreRefused() {
    Policies refusing =
        new Policies() {
          @Override
          public Standing standing(Standing standing) {
            return standing == Standing.SUSPECT ? Standing.QUARANTINED : standing;
          }
        };
    assertBreaks(Line.INNOCENTS_NOT_QUARANTINED, Fault.KILL_UPSTREAM, refusing);
  }

  @Test
  void catchesASendThatIsNeverTold() {
    CallerRequest request = new CallerRequest(1, Kind.SAFE, false, Priority.URGENT);
    List<TraceEvent> trace = List.of(new TraceEvent.Sent(0, request, 1, 1_000));
    assertThat(TraceChecks.check(trace, Sizes.MATRIX, 0, false)).containsKey(Line.EVERY_SEND_TOLD);
  }

  private static Policies standing(Standing always) {
    return new Policies() {
      @Override
      public Standing standing(Standing standing) {
        return always;
      }
    };
  }

  private static Attempt changed(Attempt from, boolean safe, boolean earlierMayHaveRun) {
    return new Attempt(
        from.end(),
        safe,
        from.number(),
        from.brokenAttempts(),
        earlierMayHaveRun,
        from.deadlineMillis(),
        from.expectedMillis());
  }

  private static void assertBreaks(Line line, Fault fault, Policies broken) {
    Result sum = RequestMatrix.NO_RUN;
    for (Step step : List.of(Step.CHOOSE, Step.ADMIT, Step.RUN)) {
      sum = sum.plus(RequestMatrix.cell(new Cell(step, fault), BROKEN_SEEDS, broken));
    }
    assertThat(sum.broken()).containsKey(line);
  }
}
