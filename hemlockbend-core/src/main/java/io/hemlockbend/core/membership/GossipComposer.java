package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.Ack;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.message.PeerMessage.Ping;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.ArrayList;
import java.util.List;

/** Composes pings and acks that carry claims, brakes and crash reports, each within its bound. */
final class GossipComposer {
  /** The sequence number of a ping that requests no ack. */
  static final long NO_ACK = 0;

  private static final int EXTRA_TRANSMISSIONS = 3;

  private final MembershipSettings settings;
  private final SelfClaim self;
  private final MemberTable table;
  private final GossipQueue<NodeId, Member> pendingClaims = new GossipQueue<>();
  private final ReportGossip<Brake> brakes = new ReportGossip<>();
  private final ReportGossip<Suspicion> suspicions = new ReportGossip<>();
  private long introductionEndMillis = Long.MIN_VALUE;

  GossipComposer(MembershipSettings settings, SelfClaim self, MemberTable table) {
    this.settings = settings;
    this.self = self;
    this.table = table;
  }

  ReportGossip<Brake> brakes() {
    return brakes;
  }

  ReportGossip<Suspicion> suspicions() {
    return suspicions;
  }

  void enqueue(Member claim) {
    pendingClaims.offer(claim.id(), claim);
  }

  void introduceUntil(long endMillis) {
    introductionEndMillis = endMillis;
  }

  boolean hasPending() {
    return !pendingClaims.isEmpty() || brakes.hasPending() || suspicions.hasPending();
  }

  void receive(List<Brake> receivedBrakes, List<Suspicion> receivedSuspicions, long nowMillis) {
    brakes.receive(receivedBrakes);
    suspicions.receive(
        receivedSuspicions.stream().filter(report -> active(report, nowMillis)).toList());
  }

  /** Removes expired crash reports. */
  void removeExpired(long nowMillis) {
    suspicions.retain(report -> active(report, nowMillis));
  }

  private static boolean active(Suspicion report, long nowMillis) {
    return report.untilMillis() > nowMillis;
  }

  /**
   * Returns how often each node that receives an item sends it. When each of n nodes sends it to ln
   * n + c random others, all receive it with probability exp(-exp(-c)) (Erdos and Renyi, 1959).
   */
  int transmissions() {
    return (int) Math.ceil(Math.log(table.liveCount() + 2.0)) + EXTRA_TRANSMISSIONS;
  }

  Ping ping(Member peer, long sequence, long nowMillis, VersionMark mark) {
    return new Ping(
        self.member().id(),
        sequence,
        mark,
        claimsFor(peer, nowMillis),
        brakes.take(MembershipSettings.REPORTS_PER_MESSAGE, transmissions()),
        suspicions.take(MembershipSettings.REPORTS_PER_MESSAGE, transmissions()));
  }

  Ack ack(Member peer, long sequence, long nowMillis, VersionMark mark) {
    return new Ack(
        self.member().id(),
        sequence,
        mark,
        claimsFor(peer, nowMillis),
        brakes.take(MembershipSettings.REPORTS_PER_MESSAGE, transmissions()),
        suspicions.take(MembershipSettings.REPORTS_PER_MESSAGE, transmissions()));
  }

  /** Returns a ping that carries reports for a joining node. */
  Ping pingWithReports(VersionMark mark) {
    return new Ping(
        self.member().id(),
        NO_ACK,
        mark,
        List.of(),
        brakes.sample(MembershipSettings.JOIN_SAMPLE),
        suspicions.sample(MembershipSettings.JOIN_SAMPLE));
  }

  private List<Member> claimsFor(Member peer, long nowMillis) {
    List<Member> claims = new ArrayList<>();
    if (peer.status() != MemberStatus.ALIVE) {
      claims.add(peer);
    }
    if (nowMillis < introductionEndMillis || peer.status() == MemberStatus.DEAD) {
      claims.add(self.member());
    }
    claims.addAll(pendingClaims.take(settings.claimsPerMessage(), transmissions()));
    return claims;
  }
}
