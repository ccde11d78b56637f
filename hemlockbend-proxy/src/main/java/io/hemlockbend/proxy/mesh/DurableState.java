package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.peer.MoveOrder;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Persists state that must survive a node, shared by all nodes and the operator. */
public interface DurableState {
  /**
   * Saves the state of a move, unless another node has saved a later one.
   *
   * @param move the move in its new state
   * @param done called with whether the state was saved
   */
  void saveMove(MoveOrder move, Consumer<Boolean> done);

  /**
   * Called when another node has read the store in a later era than this one: a call that waits for
   * changes may have been lost with the era before.
   *
   * @param era the era
   */
  void restoreReported(long era);

  /**
   * Writes records again that the store lacks since it was restored.
   *
   * @param known the records that it should have
   * @param done called with whether the store has them all
   */
  void repair(StoredRecords known, Consumer<Boolean> done);

  /**
   * Saves the first announcement of an upstream process beside this node, so that a restarted node
   * need not wait for the next one, and later that it leaves, so that a restarted node does not use
   * it again.
   *
   * @param upstream the record
   * @return completes normally or exceptionally when the attempt to save it has ended
   */
  CompletableFuture<Void> saveUpstream(UpstreamRecord upstream);
}
