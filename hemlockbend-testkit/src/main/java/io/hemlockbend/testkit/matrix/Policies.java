package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.admission.AdmissionSettings;
import io.hemlockbend.core.admission.PauseFence;
import io.hemlockbend.core.claim.BatchOutcome;
import io.hemlockbend.core.drain.DrainTracker;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.retry.Attempt;
import io.hemlockbend.core.retry.RetryBudget;
import io.hemlockbend.core.retry.RetryDecision;
import io.hemlockbend.core.retry.RetryPolicy;

/** The points at which a test puts a broken decision in place of the core's. */
interface Policies {
  /** The core's decisions. */
  Policies CORE = new Policies() {};

  /** Returns what callers send to. */
  default Entry entry(Mesh mesh, EntryModel entry) {
    return entry;
  }

  /** Returns the bounds of admission beside an upstream with this many slots. */
  default AdmissionSettings admission(int slots) {
    return new AdmissionSettings(slots, 1, slots, 100, 250);
  }

  /** Decides after a try that brought no whole answer. */
  default RetryDecision decide(Attempt attempt, RetryBudget budget, long nowMillis) {
    return RetryPolicy.decide(attempt, budget, nowMillis);
  }

  /** Returns what the ledger is told of its transaction. */
  default BatchOutcome learned(BatchOutcome outcome) {
    return outcome;
  }

  /** Returns how a request's standing is taken. */
  default Standing standing(Standing standing) {
    return standing;
  }

  /** Returns what tells that a node was paused. */
  default PauseFence fence(long nowMillis) {
    return new PauseFence(200, nowMillis);
  }

  /** Returns what follows the drain of a node. */
  default DrainTracker drain() {
    return new DrainTracker(500, 3_000);
  }

  /** Returns whether admission and entries are told of a drain or withdrawal. */
  default boolean refusesOnceClosed() {
    return true;
  }

  /** Returns whether a connection is closed once a try on it timed out. */
  default boolean closesTimedOutConnections() {
    return true;
  }
}
