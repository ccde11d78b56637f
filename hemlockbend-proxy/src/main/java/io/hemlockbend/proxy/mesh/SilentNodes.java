package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.peer.NodeMessage;
import java.util.Map;

/** Tells other nodes which nodes do not answer, and checks those that others tell of. */
final class SilentNodes {
  /** Pings a node now. */
  @FunctionalInterface
  interface Pinger {
    /** Sends a ping on the link to a node, which must be open. */
    void ping(Peer peer, long nowMillis);
  }

  private final Map<NodeId, Peer> peers;
  private final PingSchedule schedule;
  private final Pinger pinger;
  private final DecisionSink sink;

  SilentNodes(Map<NodeId, Peer> peers, PingSchedule schedule, Pinger pinger, DecisionSink sink) {
    this.peers = peers;
    this.schedule = schedule;
    this.pinger = pinger;
    this.sink = sink;
  }

  /** Tells all nodes that one does not answer, once for each silence. */
  void check(Peer checked, long nowMillis) {
    if (checked.link == null || checked.silenceTold || !schedule.silent(checked, nowMillis)) {
      return;
    }
    checked.silenceTold = true;
    if (!schedule.reportsSilence(checked, nowMillis)) {
      return;
    }
    sink.emit("node-silent", null, "peer", checked.info.node());
    NodeMessage message = new NodeMessage.Silence(checked.info.node());
    for (Peer peer : peers.values()) {
      if (peer != checked && peer.link != null) {
        peer.link.send(message);
      }
    }
  }

  /** Checks the link to a node that another one has found silent. */
  void reported(NodeId node, long nowMillis) {
    Peer peer = peers.get(node);
    if (peer == null || peer.link == null) {
      return;
    }
    peer.silenceReportedMillis = nowMillis;
    if (peer.unansweredMillis(nowMillis) == 0) {
      pinger.ping(peer, nowMillis);
    }
  }
}
