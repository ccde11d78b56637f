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

/** Fills pings and answers with claims, brakes and crash reports, each within its bound. */
final class NewsComposer {
  /** The number of a ping that asks for no answer. */
  static final long NO_ANSWER = 0;

  private static final int EXTRA_TRANSMISSIONS = 3;

  private final MembershipSettings settings;
  private final SelfClaim self;
  private final MemberTable table;
  private final GossipQueue<NodeId, Member> news = new GossipQueue<>();
  private final ReportSpread<Brake> brakes = new ReportSpread<>();
  private final ReportSpread<Suspicion> suspicions = new ReportSpread<>();
  private long introducedMillis = Long.MIN_VALUE;

  NewsComposer(MembershipSettings settings, SelfClaim self, MemberTable table) {
    this.settings = settings;
    this.self = self;
    this.table = table;
  }

  ReportSpread<Brake> brakes() {
    return brakes;
  }

  ReportSpread<Suspicion> suspicions() {
    return suspicions;
  }

  void news(Member claim) {
    news.offer(claim.id(), claim);
  }

  void introduceUntil(long millis) {
    introducedMillis = millis;
  }

  boolean hasFresh() {
    return !news.isEmpty() || brakes.hasFresh() || suspicions.hasFresh();
  }

  void receive(List<Brake> heardBrakes, List<Suspicion> heardSuspicions, long nowMillis) {
    brakes.receive(heardBrakes);
    suspicions.receive(
        heardSuspicions.stream().filter(report -> counts(report, nowMillis)).toList());
  }

  /** Forgets the crash reports whose time has passed. */
  void forgetExpired(long nowMillis) {
    suspicions.retain(report -> counts(report, nowMillis));
  }

  private static boolean counts(Suspicion report, long nowMillis) {
    return report.untilMillis() > nowMillis;
  }

  /**
   * Returns how often an item is sent by each node that hears it. When each of n nodes sends it to
   * ln n + c random others, all hear it with probability exp(-exp(-c)) (Erdos and Renyi, 1959).
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

  /** Returns a ping with the reports that a joiner is to know. */
  Ping reportsFor(VersionMark mark) {
    return new Ping(
        self.member().id(),
        NO_ANSWER,
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
    if (nowMillis < introducedMillis || peer.status() == MemberStatus.DEAD) {
      claims.add(self.member());
    }
    claims.addAll(news.take(settings.newsPerMessage(), transmissions()));
    return claims;
  }
}
