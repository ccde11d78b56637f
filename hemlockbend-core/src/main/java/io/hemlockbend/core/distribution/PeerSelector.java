package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses whom to announce to: random peers, and the next ones in the order of ids, so that each
 * node has two that announce to it whatever the draw.
 */
final class PeerSelector {
  private static final int SUCCESSORS = 2;

  private final NodeId self;
  private final RandomGenerator random;
  private final Map<NodeId, NodeAddress> addresses = new HashMap<>();
  private final List<NodeId> live = new ArrayList<>();
  private final List<NodeId> successors = new ArrayList<>();

  PeerSelector(NodeId self, RandomGenerator random) {
    this.self = self;
    this.random = random;
  }

  void members(Collection<Member> members) {
    addresses.clear();
    live.clear();
    for (Member member : members) {
      if (member.id().equals(self)) {
        continue;
      }
      addresses.put(member.id(), member.control());
      if (member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT) {
        live.add(member.id());
      }
    }
    successors.clear();
    NodeId from = self;
    for (int step = 0; step < Math.min(SUCCESSORS, live.size()); step++) {
      from = successor(from);
      successors.add(from);
    }
  }

  private NodeId successor(NodeId from) {
    NodeId next = null;
    NodeId first = null;
    for (NodeId id : live) {
      if (id.compareTo(from) > 0 && (next == null || id.compareTo(next) < 0)) {
        next = id;
      }
      if (first == null || id.compareTo(first) < 0) {
        first = id;
      }
    }
    return next == null ? first : next;
  }

  Optional<NodeAddress> address(NodeId id) {
    return Optional.ofNullable(addresses.get(id));
  }

  boolean reachable(NodeId id) {
    return addresses.containsKey(id);
  }

  int liveCount() {
    return live.size();
  }

  /** Returns the peers to announce to. */
  Set<NodeId> targets(int fanout) {
    Set<NodeId> targets = new LinkedHashSet<>(successors);
    for (int draw = 0; draw < Math.min(fanout, live.size()); draw++) {
      targets.add(live.get(random.nextInt(live.size())));
    }
    return targets;
  }
}
