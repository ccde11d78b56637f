package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.NodeInfo;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Has the records written again that a restore of the store has lost. Only the node that leads does
 * so, for all of them: it knows their records from their reports.
 */
final class RecordRepair {
  private static final long CHECK_MILLIS = 500;

  /** How long another node may still take the lead and repair in the leader's place. */
  private static final long WINDOW_MILLIS = 10_000;

  private final EventLoop loop;
  private final PeerMesh mesh;
  private final MeshNode node;
  private final ServiceVersions versions;
  private final DurableState durable;
  private final BooleanSupplier leads;
  private final DecisionSink sink;
  private long restoredMillis = Long.MIN_VALUE / 2;
  private boolean pending;
  private boolean running;

  RecordRepair(
      EventLoop loop,
      MeshNode node,
      ServiceVersions versions,
      DurableState durable,
      BooleanSupplier leads,
      DecisionSink sink) {
    this.loop = loop;
    this.mesh = node.mesh();
    this.node = node;
    this.versions = versions;
    this.durable = durable;
    this.leads = leads;
    this.sink = sink;
    loop.every(CHECK_MILLIS, this::check);
  }

  /** Called when the store was restored. */
  void restored() {
    restoredMillis = loop.millis();
    pending = true;
  }

  private void check() {
    long elapsedMillis = loop.millis() - restoredMillis;
    pending &= elapsedMillis < WINDOW_MILLIS;
    // Nodes write that their upstreams leave themselves, and reports of all must have come.
    if (!pending || running || elapsedMillis < CHECK_MILLIS || !leads.getAsBoolean()) {
      return;
    }
    running = true;
    long repairedMillis = restoredMillis;
    durable.repair(
        known(),
        done -> {
          running = false;
          sink.emit("records-repaired", null, "done", done);
          if (done && repairedMillis == restoredMillis) {
            pending = false;
          }
        });
  }

  private StoredRecords known() {
    Map<NodeId, NodeInfo> nodes = new HashMap<>();
    mesh.knownNodes().forEach(info -> nodes.put(info.node(), info));
    Map<NodeId, UpstreamRecord> upstreams = new HashMap<>();
    UpstreamRecord own = node.upstream().record();
    if (own != null) {
      upstreams.put(mesh.self().node(), own);
    }
    for (Peer peer : mesh.peers()) {
      if (peer.report != null && peer.report.upstream() != null) {
        upstreams.put(peer.info.node(), peer.report.upstream());
      }
    }
    return new StoredRecords(nodes, upstreams, versions.takenBack());
  }
}
