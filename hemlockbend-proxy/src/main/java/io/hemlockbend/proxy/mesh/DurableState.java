package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.peer.MoveOrder;
import java.util.function.Consumer;

/** Keeps what must outlive a node, where all nodes and the operator find it. */
public interface DurableState {
  /**
   * Keeps how far a move is, unless another node has kept a later state.
   *
   * @param move the move in its new state
   * @param done hears whether it was kept
   */
  void keepMove(MoveOrder move, Consumer<Boolean> done);

  /**
   * Keeps what the upstream beside this node said of itself when its process began, so that a
   * restarted node need not wait for its next announcement.
   *
   * @param upstream the upstream
   */
  void keepUpstream(UpstreamRecord upstream);
}
