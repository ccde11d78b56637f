package io.hemlockbend.proxy.mesh;

import io.hemlockbend.proxy.peer.NodeInfo;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.PeerConnection;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The state of another node, and the requests in flight that this node has sent to it. */
final class Peer {
  NodeInfo info;
  PeerConnection link;
  NodeReport report;
  UpstreamLoad load = UpstreamLoad.CLOSED;
  long reportMillis;
  long loadMillis;
  long dialedMillis;
  long failedDials;
  long pingedMillis;

  /** When anything was last received on the link to the node. */
  long heardMillis;

  /** When another node said that this one does not answer it. */
  long silenceReportedMillis = Long.MIN_VALUE / 2;

  /** Whether this node has told others that the node does not answer. */
  boolean silenceTold;

  /** Whether it is in this node's failure domain. */
  final boolean near;

  private long pingOutstandingSinceMillis;
  private boolean pingOutstanding;
  boolean dialing;
  double roundTripMillis;
  private final Map<Long, SentRun> runs = new HashMap<>();
  private int outstandingAtLoad;

  Peer(NodeInfo info, boolean near) {
    this.info = info;
    this.near = near;
  }

  /**
   * Estimates how many requests the upstream runs or queues: other nodes' as of the last load
   * report, this node's as of now.
   */
  double inFlight() {
    int othersAtLoad = Math.max(0, load.running() + load.queued() - outstandingAtLoad);
    return othersAtLoad + runs.size();
  }

  /** Records that a ping is sent on the link. */
  void pingSent(long nowMillis) {
    pingedMillis = nowMillis;
    if (!pingOutstanding) {
      pingOutstanding = true;
      pingOutstandingSinceMillis = nowMillis;
    }
  }

  /** Records that a ping was answered or that the link was replaced. */
  void pingAnswered() {
    pingOutstanding = false;
    silenceTold = false;
  }

  /** Returns how long the oldest ping on the link has been unanswered; 0 if none is. */
  long unansweredMillis(long nowMillis) {
    return pingOutstanding ? nowMillis - pingOutstandingSinceMillis : 0;
  }

  void updateLoad(UpstreamLoad updated, long nowMillis) {
    load = updated;
    loadMillis = nowMillis;
    outstandingAtLoad = runs.size();
  }

  void runStarted(long stream, SentRun run) {
    runs.put(stream, run);
  }

  /** Returns a request in flight, or null. */
  SentRun run(long stream) {
    return runs.get(stream);
  }

  SentRun removeRun(long stream) {
    return runs.remove(stream);
  }

  int outstanding() {
    return runs.size();
  }

  /**
   * Fails the requests in flight that may be repeated, so that they can be answered elsewhere, and
   * cancels them in case that the node hears again.
   */
  void failRepeatable(String reason) {
    List<SentRun> failed = new ArrayList<>();
    for (Map.Entry<Long, SentRun> run : List.copyOf(runs.entrySet())) {
      if (run.getValue().repeatable()) {
        runs.remove(run.getKey());
        link.send(new NodeMessage.Cancel(run.getKey()));
        failed.add(run.getValue());
      }
    }
    failed.forEach(run -> run.linkLost(reason));
  }

  /**
   * Forgets the link and what came on it, and fails all requests in flight; those that were sent
   * completely may have run. A node without a link is not silent: no ping to it is outstanding.
   */
  void linkLost() {
    link = null;
    report = null;
    pingAnswered();
    List<SentRun> lost = new ArrayList<>(runs.values());
    runs.clear();
    lost.forEach(run -> run.linkLost("link to " + info.node() + " lost"));
  }
}
