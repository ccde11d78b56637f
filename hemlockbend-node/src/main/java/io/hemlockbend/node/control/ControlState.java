package io.hemlockbend.node.control;

import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.distribution.Distributor;
import io.hemlockbend.core.membership.Membership;
import io.hemlockbend.node.admission.Quarantine;

/** State owned by the control thread. Only the quarantine is shared with other threads. */
public final class ControlState {
  final Membership membership;
  final Distributor distributor;
  final Quarantine quarantine;
  final LocalUpstream upstream;
  BrakeSet brakes = BrakeSet.EMPTY;

  ControlState(
      Membership membership,
      Distributor distributor,
      Quarantine quarantine,
      LocalUpstream upstream) {
    this.membership = membership;
    this.distributor = distributor;
    this.quarantine = quarantine;
    this.upstream = upstream;
  }
}
