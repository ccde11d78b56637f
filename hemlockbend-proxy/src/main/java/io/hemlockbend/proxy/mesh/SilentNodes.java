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

  /**
   * Handles that a node does not answer, once for each silence: requests in flight to it that may
   * be repeated leave it in time to be answered elsewhere, and the other nodes are told.
   */
  void check(Peer checked, long nowMillis) {
    if (checked.link == null || checked.silenceTold || !schedule.silent(checked, nowMillis)) {
      return;
    }
    checked.silenceTold = true;
    if (!schedule.silenceIsTheirs(nowMillis)) {
      return;
    }
    sink.emit("node-silent", null, "peer", checked.info.node(), "open", checked.outstanding());
    boolean known = schedule.silenceReported(checked, nowMillis);
    checked.failRepeatable("node " + checked.info.node() + " does not answer");
    if (!known) {
      tellOthers(checked);
    }
  }

  private void tellOthers(Peer checked) {
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
