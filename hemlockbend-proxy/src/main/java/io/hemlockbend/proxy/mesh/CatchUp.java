package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.NodeReport;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Gets the operator's news from other nodes: at once where the node does not follow the store, else
 * when the store has not brought them for a while.
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
   * Takes in what another node reports. One of another failure domain is asked only by {@link
   * #check}, when none of the own one is ahead by then: documents are large.
   */
  void reported(Peer from, NodeReport report) {
    if (ahead(report) && near(from) && !node.followsStore()) {
      fetch(from.info.node());
    }
  }

  /** Asks a node that is ahead, if that is due; to be called again and again. */
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
    if (!node.followsStore() || nowMillis - behindSinceMillis >= BEHIND_MILLIS) {
      fetch(ahead.info.node());
    }
  }

  /** Returns one of the nodes that are ahead, of the own failure domain if there is one. */
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
    return report.configurationVersion() > node.configurationVersion()
        || report.ordersVersion() > node.orders().version();
  }

  private void fetch(NodeId from) {
    mesh.fetchFrom(
        from, new NodeMessage.Fetch(node.configurationVersion(), node.orders().version()));
  }
}
