package io.hemlockbend.testkit.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.admission.AdmissionSettings;
import io.hemlockbend.core.admission.PauseFence;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.claim.BatchOutcome;
import io.hemlockbend.core.drain.DrainTracker;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.retry.Attempt;
import io.hemlockbend.core.retry.ReportedOutcome;
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
  private static final int VIOLATION_SEEDS = 6;

  @ParameterizedTest
  @EnumSource(Fault.class)
  void everyInvariantHoldsAtEveryStep(Fault fault) {
    Result sum = RequestMatrix.NO_RUN;
    for (Step step : Step.values()) {
      sum = sum.plus(RequestMatrix.cell(new Cell(step, fault), SEEDS, Policies.CORE));
    }
    assertThat(sum.violations()).isEmpty();
    assertThat(sum.reached()).isGreaterThan(sum.runs() * 3 / 4);
  }

  @Test
  void detectsOverrunSlots() {
    assertViolates(
        Invariant.SLOTS_NOT_OVERRUN,
        Fault.FREEZE_UPSTREAM,
        new Policies() {
          @Override
          public AdmissionSettings admission(int slots) {
            return new AdmissionSettings(2 * slots, 2 * slots, slots, 100, 250);
          }
        });
  }

  @Test
  void detectsRepeatedUnsafeRequest() {
    assertViolates(
        Invariant.AT_MOST_ONCE,
        Fault.LATE_ANSWER,
        new Policies() {
          @Override
          public RetryDecision decide(Attempt attempt, RetryBudget budget, long nowMillis) {
            return Policies.super.decide(changed(attempt, true, false), budget, nowMillis);
          }
        });
  }

  @Test
  void detectsRunWithoutWrittenClaim() {
    Policies assumingApplied =
        new Policies() {
          @Override
          public BatchOutcome batchOutcome(BatchOutcome outcome) {
            return new BatchOutcome.Answered(new TransactionOutcome.Applied());
          }
        };
    List<Cell> cells =
        List.of(
            new Cell(Step.CLAIM, Fault.PLATFORM_DOWN),
            new Cell(Step.ANSWER_MIDDLE, Fault.KILL_NODE));
    Result faulty = RequestMatrix.run(cells, Kind.KEYED, 1, assumingApplied);
    assertThat(faulty.violations()).containsKey(Invariant.AT_MOST_ONCE);
    assertThat(RequestMatrix.run(cells, Kind.KEYED, 1, Policies.CORE).violations()).isEmpty();
  }

  @Test
  void detectsFalseNotRun() {
    assertViolates(
        Invariant.NOT_RUN_IS_TRUE,
        Fault.KILL_UPSTREAM,
        new Policies() {
          @Override
          public RetryDecision decide(Attempt attempt, RetryBudget budget, long nowMillis) {
            RetryDecision decision = Policies.super.decide(attempt, budget, nowMillis);
            return decision instanceof RetryDecision.GiveUp(var _, int status, String reason)
                ? new RetryDecision.GiveUp(ReportedOutcome.NOT_RUN, status, reason)
                : decision;
          }
        });
  }

  @Test
  void detectsIgnoredEarlierAttempt() {
    assertViolates(
        Invariant.NOT_RUN_IS_TRUE,
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
  void detectsAdmissionDuringDrain() {
    assertViolates(
        Invariant.NO_WORK_ONCE_CLOSED,
        Fault.DRAIN,
        new Policies() {
          @Override
          public boolean refusesOnceClosed() {
            return false;
          }
        });
  }

  @Test
  void detectsAdmissionInWithdrawnDomain() {
    Policies unclosed =
        new Policies() {
          @Override
          public boolean refusesOnceClosed() {
            return false;
          }
        };
    assertViolates(Invariant.NO_WORK_ONCE_CLOSED, Fault.WITHDRAW, unclosed);
  }

  @Test
  void detectsAdmissionByPausedNodeOfWithdrawnDomain() {
    List<Cell> cells =
        List.of(new Cell(Step.SEND, Fault.FREEZE_NODE), new Cell(Step.SEND, Fault.WITHDRAW));
    Policies unfenced =
        new Policies() {
          @Override
          public PauseFence fence(long nowMillis) {
            return new PauseFence(Long.MAX_VALUE, nowMillis);
          }
        };
    Result faulty = RequestMatrix.NO_RUN;
    Result correct = RequestMatrix.NO_RUN;
    for (int seed = 1; seed <= VIOLATION_SEEDS; seed++) {
      faulty = faulty.plus(RequestMatrix.run(cells, Kind.UNSAFE, seed, unfenced));
      correct = correct.plus(RequestMatrix.run(cells, Kind.UNSAFE, seed, Policies.CORE));
    }
    assertThat(faulty.violations()).containsKey(Invariant.NO_WORK_ONCE_CLOSED);
    assertThat(correct.violations()).isEmpty();
  }

  @Test
  void detectsDrainThatAbortsRequests() {
    assertViolates(
        Invariant.DRAIN_CUTS_NOTHING,
        Fault.DRAIN,
        new Policies() {
          @Override
          public DrainTracker drain() {
            return new DrainTracker(0, 0);
          }
        });
  }

  @Test
  void detectsAnswerOfAnotherRequest() {
    assertViolates(
        Invariant.OWN_WHOLE_ANSWER,
        Fault.FREEZE_NODE,
        new Policies() {
          @Override
          public boolean closesTimedOutConnections() {
            return false;
          }
        });
  }

  @Test
  void detectsUnboundedCrashes() {
    assertViolates(Invariant.CRASHES_BOUNDED, Fault.CRASHING_REQUEST, standing(Standing.CLEAR));
  }

  @Test
  void detectsQuarantineOfInnocentRequest() {
    Policies refusing =
        new Policies() {
          @Override
          public Standing standing(Standing standing) {
            return standing == Standing.SUSPECT ? Standing.QUARANTINED : standing;
          }
        };
    assertViolates(Invariant.INNOCENTS_NOT_QUARANTINED, Fault.KILL_UPSTREAM, refusing);
  }

  @Test
  void detectsSendWithoutOutcome() {
    CallerRequest request = new CallerRequest(1, Kind.SAFE, false, Priority.URGENT);
    List<TraceEvent> trace = List.of(new TraceEvent.Sent(0, request, 1, 1_000));
    assertThat(TraceChecks.check(trace, Sizes.MATRIX, 0, false))
        .containsKey(Invariant.EVERY_SEND_COMPLETED);
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

  private static void assertViolates(Invariant invariant, Fault fault, Policies faulty) {
    Result sum = RequestMatrix.NO_RUN;
    for (Step step : List.of(Step.CHOOSE, Step.ADMIT, Step.RUN)) {
      sum = sum.plus(RequestMatrix.cell(new Cell(step, fault), VIOLATION_SEEDS, faulty));
    }
    assertThat(sum.violations()).containsKey(invariant);
  }
}
