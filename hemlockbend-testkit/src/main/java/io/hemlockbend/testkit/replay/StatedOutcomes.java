package io.hemlockbend.testkit.replay;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import java.util.List;
import java.util.SortedMap;

/**
 * The events of a recorded run and the grace periods for their effects. Times are milliseconds
 * since the epoch.
 *
 * @param placement the failure domain of each upstream
 * @param nodes the nodes that must apply each configuration
 * @param withdrawals the withdrawn failure domains
 * @param withdrawalGraceMillis the time after a withdrawal in which requests may still start there
 * @param leavings the upstreams that announced that they are leaving
 * @param leavingGraceMillis the time after the announcement in which requests may still start there
 * @param badVersions the bad versions
 * @param accepted the accepted configurations
 * @param applyGraceMillis the time in which nodes must apply an accepted configuration
 * @param crashes when processes were killed or connections closed, so that answers may be cut off
 * @param fallenCold the unannounced cold starts of upstreams
 * @param coldGraceMillis the time after such a cold start in which an upstream may get more
 *     requests than its limit
 */
public record StatedOutcomes(
    SortedMap<UpstreamId, FailureDomain> placement,
    List<NodeId> nodes,
    List<Withdrawal> withdrawals,
    long withdrawalGraceMillis,
    List<Leaving> leavings,
    long leavingGraceMillis,
    List<BadVersion> badVersions,
    List<Accepted> accepted,
    long applyGraceMillis,
    List<Window> crashes,
    List<FallenCold> fallenCold,
    long coldGraceMillis) {

  /**
   * A time window.
   *
   * @param fromMillis the start, inclusive
   * @param untilMillis the end, exclusive
   */
  public record Window(long fromMillis, long untilMillis) {
    /** Returns whether the time lies in the window. */
    public boolean contains(long atMillis) {
      return atMillis >= fromMillis && atMillis < untilMillis;
    }

    /** Returns whether the window overlaps a span of time, whose ends are both inclusive. */
    public boolean overlaps(long startMillis, long endMillis) {
      return startMillis < untilMillis && endMillis >= fromMillis;
    }
  }

  /**
   * A withdrawal of a failure domain.
   *
   * @param domain the failure domain
   * @param window the time from the acceptance of the withdrawal to that of the restore
   */
  public record Withdrawal(FailureDomain domain, Window window) {}

  /**
   * An upstream that announced that it is leaving.
   *
   * @param upstream the upstream
   * @param atMillis the time of the announcement
   */
  public record Leaving(UpstreamId upstream, long atMillis) {}

  /**
   * An unannounced cold start of an upstream.
   *
   * @param upstream the upstream
   * @param atMillis the start of the cold start
   */
  public record FallenCold(UpstreamId upstream, long atMillis) {}

  /**
   * A bad version.
   *
   * @param version the version
   * @param maxSharePermille its maximum share of its service's runs before {@code noneFromMillis}
   * @param noneFromMillis the time from which it may get no traffic
   */
  public record BadVersion(VersionKey version, int maxSharePermille, long noneFromMillis) {}

  /**
   * An accepted configuration.
   *
   * @param version the version of the configuration
   * @param atMillis the time of its acceptance
   */
  public record Accepted(ConfigurationVersion version, long atMillis) {}
}
