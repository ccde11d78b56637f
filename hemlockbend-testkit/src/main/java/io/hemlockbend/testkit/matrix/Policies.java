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

/** The decisions of the core that a test or bench may replace; the defaults are the core's. */
interface Policies {
  /** The core's decisions. */
  Policies CORE = new Policies() {};

  /** Returns the entry that callers use; by default the modelled one. */
  default Entry entry(Mesh mesh, EntryModel entry) {
    return entry;
  }

  /** Returns the admission settings of an upstream with the given number of slots. */
  default AdmissionSettings admission(int slots) {
    return new AdmissionSettings(slots, 1, slots, 100, 250);
  }

  /** Decides on a retry after an attempt without a complete answer. */
  default RetryDecision decide(Attempt attempt, RetryBudget budget, long nowMillis) {
    return RetryPolicy.decide(attempt, budget, nowMillis);
  }

  /** Returns the outcome of a transaction that is reported to the claim ledger. */
  default BatchOutcome batchOutcome(BatchOutcome outcome) {
    return outcome;
  }

  /** Returns the standing that admission uses for a request with the given standing. */
  default Standing standing(Standing standing) {
    return standing;
  }

  /** Returns the fence that closes admission after a pause of the process. */
  default PauseFence fence(long nowMillis) {
    return new PauseFence(200, nowMillis);
  }

  /** Returns the tracker of the drain of a node. */
  default DrainTracker drain() {
    return new DrainTracker(500, 3_000);
  }

  /** Returns whether admission and entries are notified of a drain or withdrawal. */
  default boolean refusesOnceClosed() {
    return true;
  }

  /** Returns whether a connection is closed after an attempt on it timed out. */
  default boolean closesTimedOutConnections() {
    return true;
  }
}
