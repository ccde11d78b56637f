package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides when a new process may put its first configuration in force, so that a restart never goes
 * back. What this process read from the table is at least as new as anything that an earlier
 * process of the same node had. While the platform is away, it takes the newest version that
 * several peers have in force, after long enough for an announcement to reach all, and at least the
 * version that peers recorded for this node.
 */
final class ReadinessGate {
  private final DistributionSettings settings;
  private final Map<NodeId, ConfigurationVersion> heard = new HashMap<>();
  private Optional<ConfigurationVersion> tableVersion = Optional.empty();
  private ConfigurationVersion newest = ConfigurationVersion.NONE;
  private ConfigurationVersion recorded = ConfigurationVersion.NONE;
  private boolean platformAway;
  private long startMillis = Long.MAX_VALUE;

  ReadinessGate(DistributionSettings settings) {
    this.settings = settings;
  }

  void started(long nowMillis) {
    startMillis = Math.min(startMillis, nowMillis);
  }

  void tableRead(ConfigurationVersion version) {
    tableVersion = Optional.of(version);
    platformAway = false;
  }

  void tableUnavailable() {
    platformAway = tableVersion.isEmpty();
  }

  /** Notes what a peer has in force; a peer without a configuration says nothing. */
  void heard(NodeId peer, VersionMark mark) {
    if (mark.version().equals(ConfigurationVersion.NONE)) {
      return;
    }
    heard.put(peer, mark.version());
    newest = newest.newerThan(mark.version()) ? newest : mark.version();
  }

  void recorded(ConfigurationVersion version) {
    recorded = version.newerThan(recorded) ? version : recorded;
  }

  /** Returns whether the version may be put in force now. */
  boolean opens(ConfigurationVersion version, int livePeers, long nowMillis) {
    if (tableVersion.isPresent()) {
      return !tableVersion.get().newerThan(version);
    }
    int needed = Math.max(1, Math.min(settings.peersNeeded(), livePeers));
    return platformAway
        && nowMillis - startMillis >= settings.settleMillis()
        && heard.size() >= needed
        && !newest.newerThan(version)
        && !recorded.newerThan(version);
  }
}
