package io.hemlockbend.proxy.metrics;

import io.hemlockbend.proxy.loop.LoopLagMonitor;
import io.hemlockbend.proxy.mesh.BodyTransfers;
import io.hemlockbend.proxy.mesh.PeerMesh;

/**
 * What a node's process and its links are used for, at one moment.
 *
 * @param lateMillis by how much the event loop's timers were late, all together
 * @param heapBytes the heap in use
 * @param pendingBytes bytes that wait to be sent to other nodes
 * @param bodies large bodies that came from other nodes
 * @param bodyBytes the bytes of these
 * @param bodyMillis how long these took from their offer to their last byte
 */
public record ProcessUse(
    long lateMillis,
    long heapBytes,
    long pendingBytes,
    long bodies,
    long bodyBytes,
    long bodyMillis) {
  /** Nothing was counted yet. */
  static final ProcessUse EMPTY = new ProcessUse(0, 0, 0, 0, 0, 0);

  /** Takes the use of now; called on the event loop. */
  static ProcessUse of(LoopLagMonitor watch, PeerMesh mesh) {
    Runtime runtime = Runtime.getRuntime();
    BodyTransfers large = mesh.bodies();
    return new ProcessUse(
        watch.totalLagMillis(),
        runtime.totalMemory() - runtime.freeMemory(),
        mesh.pendingBytes(),
        large.receivedCount(),
        large.receivedBytes(),
        large.receiveMillis());
  }
}
