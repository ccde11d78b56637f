package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.HashSet;
import java.util.Set;

/**
 * Fences a process that was frozen and may hold a stale configuration. The fence is lifted when
 * enough peers have answered pings sent after the freeze, or the table was read, and the newest
 * configuration reported by either is in force on this node.
 */
final class FreezeFence {
  private static final int ANSWERS_NEEDED = 2;

  private final Set<NodeId> answered = new HashSet<>();
  private VersionMark newest = VersionMark.NONE;
  private VersionMark applied = VersionMark.NONE;
  private boolean fenced;
  private boolean newestConfirmed;

  void resumed() {
    fenced = true;
    newestConfirmed = false;
    answered.clear();
  }

  void answered(NodeId peer, VersionMark mark, int livePeers) {
    observe(mark);
    if (fenced) {
      answered.add(peer);
      newestConfirmed |= answered.size() >= Math.min(ANSWERS_NEEDED, livePeers);
      liftWhenCaughtUp();
    }
  }

  void tableRead(VersionMark mark) {
    observe(mark);
    newestConfirmed = true;
    liftWhenCaughtUp();
  }

  void observe(VersionMark mark) {
    newest = mark.newerThan(newest) ? mark : newest;
  }

  void applied(VersionMark mark) {
    applied = mark;
    observe(mark);
    liftWhenCaughtUp();
  }

  VersionMark applied() {
    return applied;
  }

  boolean fenced() {
    return fenced;
  }

  private void liftWhenCaughtUp() {
    fenced &= !newestConfirmed || newest.newerThan(applied);
  }
}
