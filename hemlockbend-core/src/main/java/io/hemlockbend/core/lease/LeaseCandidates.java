package io.hemlockbend.core.lease;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the few nodes that may hold the lease, so that reads and writes of its row do not grow
 * with the fleet. The same nodes receive the evidence reports, so that a new holder already has the
 * evidence.
 *
 * <p>Candidates are selected by rendezvous hashing (Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", 1998): each live node has a weight and the highest weights win,
 * at most one in a failure domain until each domain has one. A node that joins or leaves changes at
 * most one candidate.
 */
public final class LeaseCandidates {
  /** Maximum number of candidates. */
  public static final int COUNT = 3;

  private static final long SEED = 0x9E3779B97F4A7C15L;

  private LeaseCandidates() {}

  /**
   * Returns the candidates: the highest weight of each domain first, then further nodes.
   *
   * @param members the known members of the mesh
   */
  public static List<NodeId> select(Collection<Member> members) {
    List<Member> byWeight =
        members.stream()
            .filter(member -> member.status() == MemberStatus.ALIVE)
            .sorted(
                Comparator.comparingLong((Member member) -> weight(member.id()))
                    .reversed()
                    .thenComparing(Member::id))
            .toList();
    List<NodeId> selected = new ArrayList<>();
    Set<FailureDomain> domains = new HashSet<>();
    byWeight.stream()
        .filter(member -> domains.add(member.domain()))
        .limit(COUNT)
        .forEach(member -> selected.add(member.id()));
    byWeight.stream()
        .map(Member::id)
        .filter(id -> !selected.contains(id))
        .limit(COUNT - selected.size())
        .forEach(selected::add);
    return selected;
  }

  /** Hashes the characters of the name with the finalizer of SplitMix64. */
  private static long weight(NodeId id) {
    long hash = SEED;
    for (int i = 0; i < id.value().length(); i++) {
      hash = mix(hash ^ id.value().charAt(i));
    }
    return hash >>> 1;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
