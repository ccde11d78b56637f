package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.NodeReport;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Fetches newer configurations and orders from other nodes: at once if this node does not read the
 * store, otherwise after the store has failed to deliver them for {@link #BEHIND_MILLIS}.
 */
final class CatchUp {
  private static final long BEHIND_MILLIS = 400;

  private final EventLoop loop;
  private final PeerMesh mesh;
  private final MeshNode node;
  private final SplittableRandom random = new SplittableRandom();
  private long behindSinceMillis;

  CatchUp(EventLoop loop, PeerMesh mesh, MeshNode node) {
    this.loop = loop;
    this.mesh = mesh;
    this.node = node;
  }

  /**
   * Handles another node's report. Nodes of other failure domains are queried only by {@link
   * #check}, when no node of the own domain is ahead, because documents are large.
   */
  void reported(Peer from, NodeReport report) {
    if (ahead(report) && near(from) && !node.readsStore()) {
      fetch(from.info.node());
    }
  }

  /** Fetches from a node that is ahead, if due; called periodically. */
  void check() {
    Peer ahead = anyAhead();
    if (ahead == null) {
      behindSinceMillis = 0;
      return;
    }
    long nowMillis = loop.millis();
    if (behindSinceMillis == 0) {
      behindSinceMillis = nowMillis;
    }
    if (!node.readsStore() || nowMillis - behindSinceMillis >= BEHIND_MILLIS) {
      fetch(ahead.info.node());
    }
  }

  /** Returns a random node that is ahead, preferably of the own failure domain, or null. */
  private Peer anyAhead() {
    List<Peer> near = new ArrayList<>();
    List<Peer> far = new ArrayList<>();
    for (Peer peer : mesh.peers()) {
      if (mesh.alive(peer) && ahead(peer.report)) {
        (near(peer) ? near : far).add(peer);
      }
    }
    List<Peer> all = near.isEmpty() ? far : near;
    return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
  }

  private boolean near(Peer peer) {
    return peer.info.domain().equals(mesh.self().domain());
  }

  private boolean ahead(NodeReport report) {
    NodeDocuments own = node.inForce();
    return report.configurationVersion() > own.configurationVersion()
        || report.ordersVersion().newerThan(own.orders().version())
        || own.lacksOrdersOf(report);
  }

  private void fetch(NodeId from) {
    NodeDocuments own = node.inForce();
    mesh.fetchFrom(
        from,
        new NodeMessage.Fetch(
            own.configurationVersion(), own.orders().version(), own.carriedOrders()));
  }
}
