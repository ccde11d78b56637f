package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.rollout.MoveRamp;
import io.hemlockbend.proxy.peer.MoveOrder;

/** A traffic move that this node leads. */
final class LedMove {
  MoveOrder order;
  final MoveEvidence evidence;
  final MoveRamp ramp = new MoveRamp();
  long startMillis;
  long shareChangedMillis;
  boolean startSaveRequested;
  boolean saving;

  LedMove(MoveOrder order, long startMillis) {
    this.order = order;
    this.evidence = new MoveEvidence(order.to());
    this.startMillis = startMillis;
  }

  /** Goes on with the order as it was written again; what was saved for it may be lost. */
  void continueAs(MoveOrder rewritten) {
    order = rewritten;
    startSaveRequested = false;
  }
}
