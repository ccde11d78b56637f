package io.hemlockbend.proxy.metrics;

import io.hemlockbend.proxy.loop.LoopLagMonitor;
import io.hemlockbend.proxy.mesh.BodyTransfers;
import io.hemlockbend.proxy.mesh.PeerMesh;

/**
 * The resource usage of a node's process and its links at one time.
 *
 * @param lateMillis the total lateness of the event loop's timers
 * @param heapBytes the used heap
 * @param pendingBytes bytes queued for other nodes
 * @param bodies large bodies received from other nodes
 * @param bodyBytes their total size
 * @param bodyMillis their total time from offer to last byte
 */
public record ProcessUsage(
    long lateMillis,
    long heapBytes,
    long pendingBytes,
    long bodies,
    long bodyBytes,
    long bodyMillis) {
  /** The usage before the first scrape. */
  static final ProcessUsage EMPTY = new ProcessUsage(0, 0, 0, 0, 0, 0);

  /** Returns the current usage; called on the event loop. */
  static ProcessUsage of(LoopLagMonitor lagMonitor, PeerMesh mesh) {
    Runtime runtime = Runtime.getRuntime();
    BodyTransfers transfers = mesh.bodies();
    return new ProcessUsage(
        lagMonitor.totalLagMillis(),
        runtime.totalMemory() - runtime.freeMemory(),
        mesh.pendingBytes(),
        transfers.receivedCount(),
        transfers.receivedBytes(),
        transfers.receiveMillis());
  }
}
