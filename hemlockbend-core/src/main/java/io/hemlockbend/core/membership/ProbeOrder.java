package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Round robin over the live members, in an order that is shuffled anew for each round. */
final class ProbeOrder {
  private final MemberTable table;
  private final RandomGenerator random;
  private final Deque<NodeId> round = new ArrayDeque<>();

  ProbeOrder(MemberTable table, RandomGenerator random) {
    this.table = table;
    this.random = random;
  }

  Optional<Member> next() {
    if (round.isEmpty()) {
      List<NodeId> shuffled = new ArrayList<>(table.liveIds());
      Collections.shuffle(shuffled, random);
      round.addAll(shuffled);
    }
    while (!round.isEmpty()) {
      Optional<Member> member = table.find(round.poll()).filter(ProbeOrder::live);
      if (member.isPresent()) {
        return member;
      }
    }
    return Optional.empty();
  }

  private static boolean live(Member member) {
    return member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT;
  }
}
