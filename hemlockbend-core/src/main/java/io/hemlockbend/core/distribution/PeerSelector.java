package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the peers to announce to: random ones, and the next ones in the order of ids, so that
 * each node has two that announce to it whatever the random choice.
 */
final class PeerSelector {
  private static final int SUCCESSORS = 2;
  private static final Comparator<Member> BY_ID = Comparator.comparing(Member::id);

  private final NodeId self;
  private final RandomGenerator random;
  private List<Member> others = List.of();
  private List<Member> live = List.of();
  private List<NodeId> successors = List.of();

  PeerSelector(NodeId self, RandomGenerator random) {
    this.self = self;
    this.random = random;
  }

  void members(Collection<Member> members) {
    others = members.stream().filter(member -> !member.id().equals(self)).toList();
    live = others.stream().filter(PeerSelector::live).toList();
    successors = new ArrayList<>();
    NodeId from = self;
    for (int step = 0; step < Math.min(SUCCESSORS, live.size()); step++) {
      from = successor(from);
      successors.add(from);
    }
  }

  private static boolean live(Member member) {
    return member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT;
  }

  private NodeId successor(NodeId from) {
    return live.stream()
        .filter(member -> member.id().compareTo(from) > 0)
        .min(BY_ID)
        .or(() -> live.stream().min(BY_ID))
        .map(Member::id)
        .orElse(from);
  }

  /** Returns a peer's control address. A linear search costs less than a map in each node. */
  Optional<NodeAddress> address(NodeId id) {
    return others.stream()
        .filter(member -> member.id().equals(id))
        .findFirst()
        .map(Member::control);
  }

  boolean reachable(NodeId id) {
    return address(id).isPresent();
  }

  int liveCount() {
    return live.size();
  }

  /** Returns the peers to announce to: the successors and up to {@code fanout} random peers. */
  Set<NodeId> targets(int fanout) {
    Set<NodeId> targets = new LinkedHashSet<>(successors);
    for (int pick = 0; pick < Math.min(fanout, live.size()); pick++) {
      targets.add(live.get(random.nextInt(live.size())).id());
    }
    return targets;
  }
}
