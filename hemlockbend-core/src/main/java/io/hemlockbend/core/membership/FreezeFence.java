package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.HashSet;
import java.util.Set;

/**
 * Tells whether this process was frozen and may hold an old configuration. The fence falls once
 * enough peers have answered pings sent since the thaw, or the table was read, and the newest
 * configuration that they named is in force here.
 */
final class FreezeFence {
  private static final int ANSWERS_NEEDED = 2;

  private final Set<NodeId> answered = new HashSet<>();
  private VersionMark newest = VersionMark.NONE;
  private VersionMark applied = VersionMark.NONE;
  private boolean fenced;
  private boolean informed;

  void thawed() {
    fenced = true;
    informed = false;
    answered.clear();
  }

  void answered(NodeId peer, VersionMark mark, int livePeers) {
    seen(mark);
    if (fenced) {
      answered.add(peer);
      informed |= answered.size() >= Math.min(ANSWERS_NEEDED, livePeers);
      liftWhenCaughtUp();
    }
  }

  void tableRead(VersionMark mark) {
    seen(mark);
    informed = true;
    liftWhenCaughtUp();
  }

  void seen(VersionMark mark) {
    newest = mark.newerThan(newest) ? mark : newest;
  }

  void applied(VersionMark mark) {
    applied = mark;
    seen(mark);
    liftWhenCaughtUp();
  }

  VersionMark applied() {
    return applied;
  }

  boolean fenced() {
    return fenced;
  }

  private void liftWhenCaughtUp() {
    fenced &= !informed || newest.newerThan(applied);
  }
}
