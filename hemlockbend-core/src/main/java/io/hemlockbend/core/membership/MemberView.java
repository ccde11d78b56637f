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

/** A node's claim about itself and its view of the other members; changes are gossiped. */
final class MemberView {
  private final SelfClaim self;
  private final MemberTable table;
  private final FreezeFence fence = new FreezeFence();
  private final GossipComposer composer;
  private long selfChanges;

  MemberView(Member self, MembershipSettings settings, RandomGenerator random) {
    this.self = new SelfClaim(self);
    this.table = new MemberTable(random);
    this.composer = new GossipComposer(settings, this.self, table);
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

  GossipComposer composer() {
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

  void mergeAndGossipAll(List<Member> claims, long nowMillis) {
    claims.forEach(claim -> mergeAndGossip(claim, nowMillis));
  }

  void mergeAndGossip(Member claim, long nowMillis) {
    if (claim.id().equals(id())) {
      refute(claim);
    } else if (table.merge(claim, nowMillis)) {
      table.find(claim.id()).ifPresent(composer::enqueue);
    }
  }

  /** Merges claims that a peer has held for some time, without gossiping them. */
  void mergeAll(List<Member> claims, long nowMillis) {
    for (Member claim : claims) {
      if (claim.id().equals(id())) {
        refute(claim);
      } else {
        table.merge(claim, nowMillis);
      }
    }
  }

  /** Records the configuration that a peer reports to have in force. */
  void peerApplied(NodeId sender, VersionMark mark) {
    fence.observe(mark);
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
    composer.enqueue(self.member());
  }
}
