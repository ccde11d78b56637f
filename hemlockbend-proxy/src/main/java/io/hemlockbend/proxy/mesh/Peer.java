package io.hemlockbend.proxy.mesh;

import io.hemlockbend.proxy.peer.NodeInfo;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.PeerConnection;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What this node knows of another one, and the requests that it runs for this node. */
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
  private long waitingSinceMillis;
  private boolean waiting;
  boolean dialing;
  double roundTripMillis;
  private final Map<Long, SentRun> runs = new HashMap<>();
  private int outstandingAtLoad;

  Peer(NodeInfo info) {
    this.info = info;
  }

  /** Returns how many requests the upstream runs or holds, with this node's own up to now. */
  double busy() {
    int othersThen = Math.max(0, load.running() + load.queued() - outstandingAtLoad);
    return othersThen + runs.size();
  }

  /** Takes in that a ping is sent on the link. */
  void pinged(long nowMillis) {
    pingedMillis = nowMillis;
    if (!waiting) {
      waiting = true;
      waitingSinceMillis = nowMillis;
    }
  }

  /** Takes in that a ping was answered, or that the link is another one. */
  void answered() {
    waiting = false;
  }

  /** Returns for how long a ping on the link is unanswered; 0 when none is. */
  long unansweredMillis(long nowMillis) {
    return waiting ? nowMillis - waitingSinceMillis : 0;
  }

  void load(UpstreamLoad news, long nowMillis) {
    load = news;
    loadMillis = nowMillis;
    outstandingAtLoad = runs.size();
  }

  void begun(long stream, SentRun run) {
    runs.put(stream, run);
  }

  /** Returns a request under way, or null. */
  SentRun run(long stream) {
    return runs.get(stream);
  }

  SentRun ended(long stream) {
    return runs.remove(stream);
  }

  int outstanding() {
    return runs.size();
  }

  /** Ends all requests under way; those that were sent whole may have run. */
  void loseAll(String reason) {
    List<SentRun> lost = new ArrayList<>(runs.values());
    runs.clear();
    lost.forEach(run -> run.linkLost(reason));
  }
}
