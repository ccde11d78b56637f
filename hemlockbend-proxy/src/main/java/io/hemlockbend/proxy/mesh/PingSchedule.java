package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.ServiceName;
import java.util.Collection;
import java.util.Set;

/**
 * Decides when to ping other nodes and detects failed ones from overdue reports and answers. A ping
 * carries its sender's report, so the two nodes of a pair ping alternately to save messages.
 *
 * <p>In a large mesh, most bytes that idle nodes send between failure domains are pings and their
 * answers. The nodes of other failure domains are therefore pinged less often the more there are,
 * and a failed node is noticed by whichever node pings it first: that one tells the others, and
 * each of them checks its own link at once. With n nodes that each ping n others in a period of n/r
 * seconds, a node gets r pings a second however large the mesh is, so the first of them is late by
 * 1/r seconds at most.
 */
final class PingSchedule {
  private static final long MIN_PERIOD_MILLIS = 500;
  private static final long MAX_NEAR_PERIOD_MILLIS = 1_000;
  private static final long MAX_FAR_PERIOD_MILLIS = 6_000;

  /** The period for upstreams whose version is being judged: that of the judgement. */
  private static final long JUDGED_PERIOD_MILLIS = 250;

  /** Largest number of other nodes at {@link #MIN_PERIOD_MILLIS}; the period grows with more. */
  private static final int MAX_NODES_AT_MIN_PERIOD = 16;

  /** Number of periods without a report after which a node is suspect. */
  private static final double SUSPECT_PERIODS = 2;

  /** Number of periods after which a report is overdue. */
  private static final double FRESH_PERIODS = 1.25;

  /** Number of periods after which a link is pinged even if reports come in on another link. */
  private static final int OWN_LINK_PERIODS = 2;

  /** How long a ping may be unanswered before its node is suspect. */
  private static final long SILENT_MILLIS = 1_000;

  /** The same for a node that another one has found silent. */
  private static final long REPORTED_SILENT_MILLIS = 300;

  /** How long another node's word that a node is silent counts. */
  private static final long SILENCE_REPORT_MILLIS = 3_000;

  /** How long a ping may be unanswered before its link is closed. */
  private static final long LINK_TIMEOUT_MILLIS = 2_500;

  private final Collection<Peer> peers;
  private Set<ServiceName> moving = Set.of();

  /** Creates a schedule for a collection that changes with the known nodes. */
  PingSchedule(Collection<Peer> peers) {
    this.peers = peers;
  }

  /**
   * Sets the services whose moves this node leads. That needs recent reports of all nodes, and the
   * counts of the services' upstreams soon: a bad version is served until they have come.
   */
  void leadsMoves(Set<ServiceName> services) {
    moving = services;
  }

  /** Returns whether a node's reports are recent and it answers pings on the link to it. */
  boolean alive(Peer peer, long nowMillis) {
    return peer.link != null
        && peer.report != null
        && nowMillis - peer.reportMillis < SUSPECT_PERIODS * periodMillis(peer)
        && !silent(peer, nowMillis);
  }

  /** Returns whether a ping of the node has been unanswered for too long. */
  boolean silent(Peer peer, long nowMillis) {
    long limitMillis = silenceReported(peer, nowMillis) ? REPORTED_SILENT_MILLIS : SILENT_MILLIS;
    return peer.unansweredMillis(nowMillis) >= Math.min(limitMillis, periodMillis(peer));
  }

  /**
   * Returns whether so few nodes are silent that the cause lies with them. Otherwise it is more
   * likely this node's own link, or this process did not run for a while.
   */
  boolean silenceIsTheirs(long nowMillis) {
    return 2 * peers.stream().filter(peer -> silent(peer, nowMillis)).count() <= peers.size();
  }

  /** Returns whether another node has said lately that a node is silent. */
  boolean silenceReported(Peer silent, long nowMillis) {
    return nowMillis - silent.silenceReportedMillis < SILENCE_REPORT_MILLIS;
  }

  /**
   * Returns whether a node is connected and its report is not overdue; detects missing reports
   * sooner than {@link #alive}.
   */
  boolean fresh(Peer peer, long nowMillis) {
    return peer.link != null
        && peer.report != null
        && nowMillis - peer.reportMillis < FRESH_PERIODS * periodMillis(peer);
  }

  /**
   * Returns whether to ping a node: after a period without a report, and every second period in any
   * case, because the node's own pings arrive on another link.
   */
  boolean due(Peer peer, long nowMillis) {
    long period = periodMillis(peer);
    if (judged(peer)) {
      period = Math.min(period, JUDGED_PERIOD_MILLIS);
    } else if (!moving.isEmpty()) {
      period = Math.min(period, MAX_NEAR_PERIOD_MILLIS);
    }
    return nowMillis - Math.max(peer.reportMillis, peer.pingedMillis) >= period
        || nowMillis - peer.pingedMillis >= OWN_LINK_PERIODS * period;
  }

  /**
   * Returns whether to ping a node along with a request: the link to it has not been heard of for
   * so long that a request sent on it could be lost unnoticed.
   */
  boolean dueWithRequest(Peer peer, long nowMillis) {
    return peer.unansweredMillis(nowMillis) == 0
        && nowMillis - peer.heardMillis >= MAX_NEAR_PERIOD_MILLIS;
  }

  /** Returns whether the link to a node has timed out and must be closed. */
  boolean timedOut(Peer peer, long nowMillis) {
    return peer.unansweredMillis(nowMillis) > LINK_TIMEOUT_MILLIS;
  }

  private boolean judged(Peer peer) {
    return peer.report != null
        && peer.report.upstream() != null
        && moving.contains(peer.report.upstream().service());
  }

  /** Returns the ping period, which grows with the mesh to bound the ping rate of a node. */
  private long periodMillis(Peer peer) {
    return Math.clamp(
        MIN_PERIOD_MILLIS * peers.size() / MAX_NODES_AT_MIN_PERIOD,
        MIN_PERIOD_MILLIS,
        peer.near ? MAX_NEAR_PERIOD_MILLIS : MAX_FAR_PERIOD_MILLIS);
  }
}
