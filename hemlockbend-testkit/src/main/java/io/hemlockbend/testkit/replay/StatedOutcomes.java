package io.hemlockbend.testkit.replay;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import java.util.List;
import java.util.SortedMap;

/**
 * What was done during a recorded run, and by when it had to show. Times are milliseconds since the
 * epoch.
 *
 * @param placement the failure domain of each upstream
 * @param nodes the nodes that had to follow the configuration
 * @param withdrawals the failure domains that were taken out
 * @param withdrawalGraceMillis how long after a withdrawal work may still start there
 * @param leavings the upstreams that announced that they leave
 * @param leavingGraceMillis how long after the announcement work may still start there
 * @param badVersions the versions that were bad
 * @param accepted the configurations that were accepted
 * @param applyGraceMillis how long after its acceptance a configuration may not be in force yet
 * @param crashes when processes were killed or connections cut, so that answers may break off
 * @param fallenCold the upstreams that fell back into a cold start unannounced
 * @param coldGraceMillis how long after such a fall an upstream may get more than it bears
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
   * A span of time.
   *
   * @param fromMillis its first millisecond
   * @param untilMillis the first millisecond after it
   */
  public record Window(long fromMillis, long untilMillis) {
    /** Returns whether the time lies in the span. */
    public boolean contains(long atMillis) {
      return atMillis >= fromMillis && atMillis < untilMillis;
    }

    /** Returns whether the two spans, ends included, have a millisecond in common. */
    public boolean overlaps(long startMillis, long endMillis) {
      return startMillis < untilMillis && endMillis >= fromMillis;
    }
  }

  /**
   * A failure domain that was taken out.
   *
   * @param domain the failure domain
   * @param window from the acceptance of the withdrawal to that of the restore
   */
  public record Withdrawal(FailureDomain domain, Window window) {}

  /**
   * An upstream that left.
   *
   * @param upstream the upstream
   * @param atMillis when it announced this
   */
  public record Leaving(UpstreamId upstream, long atMillis) {}

  /**
   * An upstream that fell back into a cold start without a word.
   *
   * @param upstream the upstream
   * @param atMillis when
   */
  public record FallenCold(UpstreamId upstream, long atMillis) {}

  /**
   * A version that was bad.
   *
   * @param version the version
   * @param maxSharePermille how much of its service's traffic it may have got until then
   * @param noneFromMillis from when on it may get none
   */
  public record BadVersion(VersionKey version, int maxSharePermille, long noneFromMillis) {}

  /**
   * A configuration that was accepted.
   *
   * @param version its number
   * @param atMillis when
   */
  public record Accepted(ConfigurationVersion version, long atMillis) {}
}
