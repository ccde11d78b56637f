package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.model.Configuration;

/** What drives the modelled move. */
sealed interface Controller permits LeasedController, NaiveController {
  /** Acts; called several times a second. */
  void tick(long nowMillis);

  /** Takes a report of a node. */
  void onReport(EvidenceReport report, long nowMillis);

  /** Takes a configuration that was accepted. */
  void onConfiguration(Configuration configuration, long nowMillis);

  /** Takes brakes of a peer. */
  void onBrakes(BrakeSet brakes);

  /** Returns whether it holds the lease. */
  boolean leads(long nowMillis);
}
