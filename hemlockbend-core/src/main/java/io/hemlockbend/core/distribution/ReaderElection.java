package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeId;
import java.util.Collection;

/**
 * Elects the nodes of a failure domain that read the table, by rendezvous hash over the live
 * members (Thaler, Ravishankar: "Using name-based mappings to increase hit rates", 1998).
 *
 * @param reader whether this node reads
 * @param live the number of live members of its failure domain, this node included
 * @param known the number of known members of its failure domain, dead ones included
 */
record ReaderElection(boolean reader, int live, int known) {
  static ReaderElection elect(
      NodeId self, FailureDomain domain, Collection<Member> members, int readers) {
    long own = weight(domain, self);
    int ahead = 0;
    int live = 1;
    int known = 1;
    for (Member member : members) {
      if (!member.domain().equals(domain)
          || member.id().equals(self)
          || member.status() == MemberStatus.LEFT) {
        continue;
      }
      known++;
      if (member.status() == MemberStatus.DEAD) {
        continue;
      }
      live++;
      if (Long.compareUnsigned(weight(domain, member.id()), own) > 0) {
        ahead++;
      }
    }
    return new ReaderElection(ahead < readers, live, known);
  }

  /** Hashes both names, with the finalizer of MurmurHash3. */
  private static long weight(FailureDomain domain, NodeId id) {
    long mixed = domain.value().hashCode() * 0x9e3779b97f4a7c15L + id.value().hashCode();
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
