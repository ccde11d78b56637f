package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.membership.Membership;
import io.hemlockbend.core.membership.MembershipSettings;
import io.hemlockbend.core.message.PeerMessage.Members;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.List;
import java.util.SplittableRandom;

/** Creates memberships with a given number of members. */
final class Memberships {
  static final long NOW_MILLIS = 1_800_000_000_000L;

  private Memberships() {}

  static Membership withMembers(int members) {
    List<Member> all = Fleet.members(members, Fleet.TARGET_SERVICES);
    Member self = all.getFirst();
    Membership membership =
        new Membership(self, MembershipSettings.DEFAULT, new SplittableRandom(members));
    membership.tick(NOW_MILLIS);
    membership.receive(new Members(new NodeId("node-1"), VersionMark.NONE, all), NOW_MILLIS);
    return membership;
  }
}
