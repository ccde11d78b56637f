package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage.Join;
import io.hemlockbend.core.message.PeerMessage.PingRequest;
import io.hemlockbend.core.message.PeerMessage.Reconcile;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** What a node does of itself as time passes: pings, suspicions, gossip, comparisons, retries. */
final class PeriodicDuties {
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final MemberView view;
  private final MemberTable table;
  private final NewsComposer composer;
  private final ProbeLedger probes;
  private final Joiner joiner;
  private final ProbeOrder order;
  private long lastTickMillis = Long.MAX_VALUE;
  private long nextPingMillis;
  private long nextGossipMillis;
  private long nextReconcileMillis;
  private long nextRetryMillis;
  private long introducedMillis = Long.MIN_VALUE;

  PeriodicDuties(
      MembershipSettings settings,
      RandomGenerator random,
      MemberView view,
      ProbeLedger probes,
      Joiner joiner) {
    this.settings = settings;
    this.random = random;
    this.view = view;
    this.table = view.table();
    this.composer = view.composer();
    this.probes = probes;
    this.joiner = joiner;
    this.order = new ProbeOrder(table, random);
  }

  List<Outbound> due(long nowMillis) {
    noteTime(nowMillis);
    List<Outbound> out = new ArrayList<>();
    joiner.due(nowMillis).forEach(seed -> out.add(new Outbound(seed, joinMessage())));
    chaseOverduePings(nowMillis, out);
    expireSuspects(nowMillis);
    pingNext(nowMillis, out);
    gossip(nowMillis, out);
    reconcile(nowMillis, out);
    retryGone(nowMillis, out);
    table.forgetGone(nowMillis, settings.goneRetentionMillis());
    return out;
  }

  /** Until then, makes this node known and compares views often. */
  void introduceUntil(long millis) {
    introducedMillis = millis;
    composer.introduceUntil(millis);
  }

  /** Compares views soon, because much of the last answer was new. */
  void reconcileSoon(long nowMillis) {
    long soonMillis = nowMillis + jittered(MembershipSettings.CATCH_UP_INTERVAL_MILLIS);
    nextReconcileMillis = Math.min(nextReconcileMillis, soonMillis);
  }

  Outbound unansweredPing(Member peer, long nowMillis) {
    return ping(peer, NewsComposer.NO_ANSWER, nowMillis);
  }

  List<Outbound> survey(ConfigurationVersion wanted, int max, long nowMillis) {
    return table.randomLive(table.liveCount()).stream()
        .filter(member -> wanted.newerThan(member.applied()))
        .limit(max)
        .map(member -> ping(member, probes.nextSequence(), nowMillis))
        .toList();
  }

  private Outbound ping(Member peer, long sequence, long nowMillis) {
    return new Outbound(peer.control(), composer.ping(peer, sequence, nowMillis, view.mark()));
  }

  /** Notices a pause of the process, during which others could not reach it. */
  void noteTime(long nowMillis) {
    if (nowMillis - MembershipSettings.FREEZE_MILLIS > lastTickMillis) {
      view.fence().thawed();
      probes.clear();
      table.restartSuspicions(nowMillis);
    }
    lastTickMillis = nowMillis;
  }

  private Join joinMessage() {
    return new Join(view.id(), view.self().member());
  }

  private void chaseOverduePings(long nowMillis, List<Outbound> out) {
    ProbeLedger.Overdue overdue = probes.overdue(nowMillis, settings.pingTimeoutMillis());
    overdue.askOthers().forEach((sequence, target) -> askOthers(sequence, target, out));
    for (NodeId target : overdue.unanswered()) {
      table
          .find(target)
          .filter(member -> member.status() == MemberStatus.ALIVE)
          .ifPresent(member -> view.learn(member.withStatus(MemberStatus.SUSPECT), nowMillis));
    }
  }

  private void askOthers(long sequence, NodeId target, List<Outbound> out) {
    PingRequest request = new PingRequest(view.id(), sequence, target);
    for (Member peer : table.randomLive(settings.indirectPeers())) {
      if (!peer.id().equals(target)) {
        out.add(new Outbound(peer.control(), request));
      }
    }
  }

  private void expireSuspects(long nowMillis) {
    for (Member suspect : table.overdueSuspects(nowMillis, settings.suspicionMillis())) {
      view.learn(suspect.withStatus(MemberStatus.DEAD), nowMillis);
    }
  }

  private void pingNext(long nowMillis, List<Outbound> out) {
    if (nowMillis < nextPingMillis) {
      return;
    }
    nextPingMillis = nowMillis + jittered(settings.pingIntervalMillis());
    order
        .next()
        .ifPresent(peer -> out.add(ping(peer, probes.start(peer.id(), nowMillis), nowMillis)));
  }

  private void gossip(long nowMillis, List<Outbound> out) {
    if (nowMillis < nextGossipMillis || !composer.hasFresh()) {
      return;
    }
    nextGossipMillis = nowMillis + settings.gossipIntervalMillis();
    for (Member peer : table.randomLive(settings.gossipFanout())) {
      out.add(unansweredPing(peer, nowMillis));
    }
  }

  private void reconcile(long nowMillis, List<Outbound> out) {
    if (nowMillis < nextReconcileMillis) {
      return;
    }
    boolean introducing = nowMillis < introducedMillis;
    long intervalMillis =
        introducing
            ? MembershipSettings.INTRODUCTION_INTERVAL_MILLIS
            : settings.reconcileIntervalMillis();
    nextReconcileMillis = nowMillis + jittered(intervalMillis);
    Reconcile message = new Reconcile(view.id(), table.bucketHashes());
    for (Member peer : table.randomLive(1)) {
      out.add(new Outbound(peer.control(), message));
    }
  }

  private void retryGone(long nowMillis, List<Outbound> out) {
    if (nowMillis < nextRetryMillis) {
      return;
    }
    nextRetryMillis = nowMillis + jittered(MembershipSettings.RETRY_GONE_MILLIS);
    composer.forgetExpired(nowMillis);
    table.randomDead().ifPresent(dead -> out.add(ping(dead, probes.nextSequence(), nowMillis)));
    for (NodeAddress seed : joiner.anySeed()) {
      if (!table.liveAt(seed)) {
        out.add(new Outbound(seed, joinMessage()));
      }
    }
  }

  private long jittered(long intervalMillis) {
    return intervalMillis * 3 / 4 + random.nextLong(intervalMillis / 2 + 1);
  }
}
