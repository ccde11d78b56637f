package io.hemlockbend.proxy.mesh;

import java.util.function.IntSupplier;

/**
 * When to ping other nodes, and what their reports and answers tell of them. A ping carries its
 * sender's report, so that the two nodes of a pair ping by turns: at the size of a large mesh most
 * of a node's messages are pings and their answers.
 */
final class PingSchedule {
  private static final long MIN_PERIOD_MILLIS = 500;
  private static final long MAX_PERIOD_MILLIS = 1_000;

  /** How many nodes are heard of every {@link #MIN_PERIOD_MILLIS}; with more, less often. */
  private static final int OFTEN_HEARD = 24;

  /** After how many periods without a report a node is suspect. */
  private static final double SUSPECT_PERIODS = 2;

  /** After how many periods a report is overdue. */
  private static final double FRESH_PERIODS = 1.25;

  /** After how many periods a link is pinged though its node was heard of on another one. */
  private static final int OWN_LINK_PERIODS = 2;

  /** For how long a ping is unanswered on a link that is given up. */
  private static final long SILENT_MILLIS = 2_500;

  private final IntSupplier others;

  /** Makes a schedule for a mesh of so many other nodes. */
  PingSchedule(IntSupplier others) {
    this.others = others;
  }

  /** Returns whether a node answers on the link to it. */
  boolean alive(Peer peer, long nowMillis) {
    long period = periodMillis();
    return peer.link != null
        && peer.report != null
        && nowMillis - peer.reportMillis < SUSPECT_PERIODS * period
        && peer.unansweredMillis(nowMillis) < period;
  }

  /** Returns whether a node was heard of just now, so that it need not be missed for long. */
  boolean fresh(Peer peer, long nowMillis) {
    return peer.link != null
        && peer.report != null
        && nowMillis - peer.reportMillis < FRESH_PERIODS * periodMillis();
  }

  /**
   * Returns whether to ping a node: when it was not heard of for a period, and every second period
   * in any case, as its own pings come on another link.
   */
  boolean due(Peer peer, long nowMillis) {
    long period = periodMillis();
    return nowMillis - Math.max(peer.reportMillis, peer.pingedMillis) >= period
        || nowMillis - peer.pingedMillis >= OWN_LINK_PERIODS * period;
  }

  /** Returns whether the link to a node is to be given up. */
  boolean silent(Peer peer, long nowMillis) {
    return peer.unansweredMillis(nowMillis) > SILENT_MILLIS;
  }

  /** Returns how often each node is heard of, so that a node's pings are bounded. */
  private long periodMillis() {
    return Math.clamp(
        MIN_PERIOD_MILLIS * others.getAsInt() / OFTEN_HEARD, MIN_PERIOD_MILLIS, MAX_PERIOD_MILLIS);
  }
}
