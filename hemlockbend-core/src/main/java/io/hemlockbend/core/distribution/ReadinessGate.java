package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides when a new process may put its first configuration in force, so that a restart never
 * reverts to an older version. The version that this process reads from the table is at least as
 * new as any that an earlier process of the same node had. While the platform is unavailable,
 * several peers must have reported their versions, after a wait long enough for an announcement to
 * reach all nodes. The configuration must then be at least as new as the newest one reported and as
 * the version that peers recorded for this node.
 */
final class ReadinessGate {
  private final DistributionSettings settings;
  private final Map<NodeId, ConfigurationVersion> appliedByPeer = new HashMap<>();
  private Optional<ConfigurationVersion> tableVersion = Optional.empty();
  private ConfigurationVersion newest = ConfigurationVersion.NONE;
  private ConfigurationVersion recorded = ConfigurationVersion.NONE;
  private boolean platformUnavailable;
  private long startMillis = Long.MAX_VALUE;

  ReadinessGate(DistributionSettings settings) {
    this.settings = settings;
  }

  void started(long nowMillis) {
    startMillis = Math.min(startMillis, nowMillis);
  }

  void tableRead(ConfigurationVersion version) {
    tableVersion = Optional.of(version);
    platformUnavailable = false;
  }

  void tableUnavailable() {
    platformUnavailable = tableVersion.isEmpty();
  }

  /** Records what a peer has in force; a peer without a configuration is ignored. */
  void peerApplied(NodeId peer, VersionMark mark) {
    if (mark.version().equals(ConfigurationVersion.NONE)) {
      return;
    }
    appliedByPeer.put(peer, mark.version());
    newest = newest.newerThan(mark.version()) ? newest : mark.version();
  }

  void recorded(ConfigurationVersion version) {
    recorded = version.newerThan(recorded) ? version : recorded;
  }

  /** Returns whether the version may be put in force as the first one of this process. */
  boolean mayApply(ConfigurationVersion version, int livePeers, long nowMillis) {
    if (tableVersion.isPresent()) {
      return !tableVersion.get().newerThan(version);
    }
    int needed = Math.max(1, Math.min(settings.peersNeeded(), livePeers));
    return platformUnavailable
        && nowMillis - startMillis >= settings.settleMillis()
        && appliedByPeer.size() >= needed
        && !newest.newerThan(version)
        && !recorded.newerThan(version);
  }
}
