package io.hemlockbend.proxy.mesh;

import java.util.function.IntSupplier;

/**
 * Decides when to ping other nodes and detects failed ones from overdue reports and answers. A ping
 * carries its sender's report, so the two nodes of a pair ping alternately to save messages: in a
 * large mesh, most of a node's messages are pings and their answers.
 */
final class PingSchedule {
  private static final long MIN_PERIOD_MILLIS = 500;
  private static final long MAX_PERIOD_MILLIS = 1_000;

  /** Largest number of other nodes at {@link #MIN_PERIOD_MILLIS}; the period grows with more. */
  private static final int MAX_NODES_AT_MIN_PERIOD = 24;

  /** Number of periods without a report after which a node is suspect. */
  private static final double SUSPECT_PERIODS = 2;

  /** Number of periods after which a report is overdue. */
  private static final double FRESH_PERIODS = 1.25;

  /** Number of periods after which a link is pinged even if reports come in on another link. */
  private static final int OWN_LINK_PERIODS = 2;

  /** How long a ping may be unanswered before its link is closed. */
  private static final long LINK_TIMEOUT_MILLIS = 2_500;

  private final IntSupplier otherNodes;

  /** Creates a schedule; {@code otherNodes} supplies the current number of other nodes. */
  PingSchedule(IntSupplier otherNodes) {
    this.otherNodes = otherNodes;
  }

  /** Returns whether a node's reports are recent and it answers pings on the link to it. */
  boolean alive(Peer peer, long nowMillis) {
    long period = periodMillis();
    return peer.link != null
        && peer.report != null
        && nowMillis - peer.reportMillis < SUSPECT_PERIODS * period
        && peer.unansweredMillis(nowMillis) < period;
  }

  /**
   * Returns whether a node is connected and its report is not overdue; detects missing reports
   * sooner than {@link #alive}.
   */
  boolean fresh(Peer peer, long nowMillis) {
    return peer.link != null
        && peer.report != null
        && nowMillis - peer.reportMillis < FRESH_PERIODS * periodMillis();
  }

  /**
   * Returns whether to ping a node: after a period without a report, and every second period in any
   * case, because the node's own pings arrive on another link.
   */
  boolean due(Peer peer, long nowMillis) {
    long period = periodMillis();
    return nowMillis - Math.max(peer.reportMillis, peer.pingedMillis) >= period
        || nowMillis - peer.pingedMillis >= OWN_LINK_PERIODS * period;
  }

  /** Returns whether the link to a node has timed out and must be closed. */
  boolean timedOut(Peer peer, long nowMillis) {
    return peer.unansweredMillis(nowMillis) > LINK_TIMEOUT_MILLIS;
  }

  /** Returns the ping period, which grows with the mesh to bound the ping rate of a node. */
  private long periodMillis() {
    return Math.clamp(
        MIN_PERIOD_MILLIS * otherNodes.getAsInt() / MAX_NODES_AT_MIN_PERIOD,
        MIN_PERIOD_MILLIS,
        MAX_PERIOD_MILLIS);
  }
}
