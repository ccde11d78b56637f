package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.rollout.MoveRamp;
import io.hemlockbend.proxy.peer.MoveOrder;

/** A move of traffic that this node leads. */
final class LedMove {
  final MoveOrder order;
  final MoveEvidence evidence;
  final MoveRamp ramp = new MoveRamp();
  long beganMillis;
  long allSinceMillis;
  boolean announced;
  boolean keeping;

  LedMove(MoveOrder order, long beganMillis) {
    this.order = order;
    this.evidence = new MoveEvidence(order.to());
    this.beganMillis = beganMillis;
  }
}
