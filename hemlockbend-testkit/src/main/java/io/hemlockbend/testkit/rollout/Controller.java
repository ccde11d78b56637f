package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.model.Configuration;

/** Decides on the steps of the modelled move. */
sealed interface Controller permits LeasedController, NaiveController {
  /** Evaluates the evidence and commits a decision when one is due; called every 200 ms. */
  void tick(long nowMillis);

  /** Receives the evidence report of a node. */
  void onReport(EvidenceReport report, long nowMillis);

  /** Receives an accepted configuration. */
  void onConfiguration(Configuration configuration, long nowMillis);

  /** Receives the brakes that a peer broadcasts. */
  void onBrakes(BrakeSet brakes);

  /** Returns whether this controller holds the rollout lease. */
  boolean holdsLease(long nowMillis);
}
