package io.hemlockbend.node.control;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.membership.Membership;
import io.hemlockbend.core.message.Outbound;
import java.util.List;

/**
 * Pings members that lag behind a version accepted at this node, so that its operator sees the
 * progress sooner than regular pings would show it.
 */
final class LaggingPings {
  /** Members that have not applied the version by then are reported by the regular pings. */
  static final long DURATION_MILLIS = 30_000;

  static final long INTERVAL_MILLIS = 200;

  /** Bounds the answers that arrive at once; each takes some hundred bytes. */
  private static final int MAX_PINGS = 64;

  private final Membership membership;
  private long untilMillis = Long.MIN_VALUE;
  private long pingedMillis;

  LaggingPings(Membership membership) {
    this.membership = membership;
  }

  /** Records that a version was accepted at this node. */
  void accepted(long nowMillis) {
    untilMillis = nowMillis + DURATION_MILLIS;
  }

  /**
   * Returns the pings that are due.
   *
   * @param version the version in force at this node
   * @param nowMillis the time
   */
  List<Outbound> due(ConfigurationVersion version, long nowMillis) {
    if (nowMillis >= untilMillis || nowMillis - pingedMillis < INTERVAL_MILLIS) {
      return List.of();
    }
    pingedMillis = nowMillis;
    return membership.pingLagging(version, MAX_PINGS, nowMillis);
  }
}
