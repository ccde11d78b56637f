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

/** The periodic tasks of a node: pings, suspicion timeouts, gossip, anti-entropy and retries. */
final class PeriodicTasks {
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final MemberView view;
  private final MemberTable table;
  private final GossipComposer composer;
  private final OutstandingProbes probes;
  private final Joiner joiner;
  private final ProbeOrder order;
  private long lastTickMillis = Long.MAX_VALUE;
  private long nextPingMillis;
  private long nextGossipMillis;
  private long nextReconcileMillis;
  private long nextRetryMillis;
  private long introductionEndMillis = Long.MIN_VALUE;

  PeriodicTasks(
      MembershipSettings settings,
      RandomGenerator random,
      MemberView view,
      OutstandingProbes probes,
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

  List<Outbound> runDue(long nowMillis) {
    detectFreeze(nowMillis);
    List<Outbound> out = new ArrayList<>();
    joiner.seedsDue(nowMillis).forEach(seed -> out.add(new Outbound(seed, joinMessage())));
    handleOverduePings(nowMillis, out);
    expireSuspects(nowMillis);
    pingNext(nowMillis, out);
    gossip(nowMillis, out);
    reconcile(nowMillis, out);
    retryUnreachable(nowMillis, out);
    table.evictGone(nowMillis, settings.goneRetentionMillis());
    return out;
  }

  /** Adds this node's claim to each message and runs anti-entropy often, until the given time. */
  void introduceUntil(long endMillis) {
    introductionEndMillis = endMillis;
    composer.introduceUntil(endMillis);
  }

  /** Brings the next anti-entropy round forward, because much of the last answer was new. */
  void reconcileSoon(long nowMillis) {
    long soonMillis = nowMillis + jittered(MembershipSettings.CATCH_UP_INTERVAL_MILLIS);
    nextReconcileMillis = Math.min(nextReconcileMillis, soonMillis);
  }

  Outbound pingWithoutAck(Member peer, long nowMillis) {
    return ping(peer, GossipComposer.NO_ACK, nowMillis);
  }

  List<Outbound> pingLagging(ConfigurationVersion version, int max, long nowMillis) {
    return table.randomLive(table.liveCount()).stream()
        .filter(member -> version.newerThan(member.applied()))
        .limit(max)
        .map(member -> ping(member, probes.nextSequence(), nowMillis))
        .toList();
  }

  private Outbound ping(Member peer, long sequence, long nowMillis) {
    return new Outbound(peer.control(), composer.ping(peer, sequence, nowMillis, view.mark()));
  }

  /**
   * Detects that the process was frozen. Acks could not be received meanwhile, so outstanding
   * probes are dropped and suspicion timeouts restart; the fence is raised.
   */
  void detectFreeze(long nowMillis) {
    if (nowMillis - MembershipSettings.FREEZE_MILLIS > lastTickMillis) {
      view.fence().resumed();
      probes.clear();
      table.restartSuspicionTimeouts(nowMillis);
    }
    lastTickMillis = nowMillis;
  }

  private Join joinMessage() {
    return new Join(view.id(), view.self().member());
  }

  private void handleOverduePings(long nowMillis, List<Outbound> out) {
    OutstandingProbes.Overdue overdue = probes.overdue(nowMillis, settings.pingTimeoutMillis());
    overdue
        .indirectProbes()
        .forEach((sequence, target) -> requestIndirectPings(sequence, target, out));
    for (NodeId target : overdue.unanswered()) {
      table
          .find(target)
          .filter(member -> member.status() == MemberStatus.ALIVE)
          .ifPresent(
              member -> view.mergeAndGossip(member.withStatus(MemberStatus.SUSPECT), nowMillis));
    }
  }

  private void requestIndirectPings(long sequence, NodeId target, List<Outbound> out) {
    PingRequest request = new PingRequest(view.id(), sequence, target);
    for (Member peer : table.randomLive(settings.indirectPeers())) {
      if (!peer.id().equals(target)) {
        out.add(new Outbound(peer.control(), request));
      }
    }
  }

  private void expireSuspects(long nowMillis) {
    for (Member suspect : table.expiredSuspects(nowMillis, settings.suspicionMillis())) {
      view.mergeAndGossip(suspect.withStatus(MemberStatus.DEAD), nowMillis);
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
    if (nowMillis < nextGossipMillis || !composer.hasPending()) {
      return;
    }
    nextGossipMillis = nowMillis + settings.gossipIntervalMillis();
    for (Member peer : table.randomLive(settings.gossipFanout())) {
      out.add(pingWithoutAck(peer, nowMillis));
    }
  }

  private void reconcile(long nowMillis, List<Outbound> out) {
    if (nowMillis < nextReconcileMillis) {
      return;
    }
    boolean introducing = nowMillis < introductionEndMillis;
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

  private void retryUnreachable(long nowMillis, List<Outbound> out) {
    if (nowMillis < nextRetryMillis) {
      return;
    }
    nextRetryMillis = nowMillis + jittered(MembershipSettings.RETRY_UNREACHABLE_INTERVAL_MILLIS);
    composer.removeExpired(nowMillis);
    table.randomDead().ifPresent(dead -> out.add(ping(dead, probes.nextSequence(), nowMillis)));
    for (NodeAddress seed : joiner.randomSeed()) {
      if (!table.liveAt(seed)) {
        out.add(new Outbound(seed, joinMessage()));
      }
    }
  }

  private long jittered(long intervalMillis) {
    return intervalMillis * 3 / 4 + random.nextLong(intervalMillis / 2 + 1);
  }
}
