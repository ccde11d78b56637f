package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** What a node says of itself and knows of the others; whatever is new becomes news to send. */
final class MemberView {
  private final SelfClaim self;
  private final MemberTable table;
  private final FreezeFence fence = new FreezeFence();
  private final NewsComposer composer;
  private long selfChanges;

  MemberView(Member self, MembershipSettings settings, RandomGenerator random) {
    this.self = new SelfClaim(self);
    this.table = new MemberTable(random);
    this.composer = new NewsComposer(settings, this.self, table);
  }

  SelfClaim self() {
    return self;
  }

  NodeId id() {
    return self.member().id();
  }

  MemberTable table() {
    return table;
  }

  FreezeFence fence() {
    return fence;
  }

  NewsComposer composer() {
    return composer;
  }

  VersionMark mark() {
    return fence.applied();
  }

  long changes() {
    return table.changes() + selfChanges;
  }

  void leave() {
    self.leave();
    selfChanged();
  }

  void endpoint(Optional<Endpoint> endpoint) {
    if (!endpoint.equals(self.member().endpoint())) {
      self.endpoint(endpoint);
      selfChanged();
    }
  }

  void learnAll(List<Member> claims, long nowMillis) {
    claims.forEach(claim -> learn(claim, nowMillis));
  }

  void learn(Member claim, long nowMillis) {
    if (claim.id().equals(id())) {
      refute(claim);
    } else if (table.merge(claim, nowMillis)) {
      table.find(claim.id()).ifPresent(composer::news);
    }
  }

  /** Takes in claims that a peer has known for some time; they are no news to send on. */
  void copyAll(List<Member> claims, long nowMillis) {
    for (Member claim : claims) {
      if (claim.id().equals(id())) {
        refute(claim);
      } else {
        table.merge(claim, nowMillis);
      }
    }
  }

  /** Notes what a peer says that it has in force. */
  void heard(NodeId sender, VersionMark mark) {
    fence.seen(mark);
    table.applied(sender, mark.version());
  }

  private void refute(Member claim) {
    ConfigurationVersion recorded = self.recorded();
    if (self.refute(claim) && self.member().status() != MemberStatus.LEFT) {
      selfChanged();
    } else if (self.recorded().newerThan(recorded)) {
      selfChanges++;
    }
  }

  private void selfChanged() {
    selfChanges++;
    composer.news(self.member());
  }
}
