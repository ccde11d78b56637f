package io.hemlockbend.node.entry;

import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.node.control.ControlTask;
import io.hemlockbend.node.rollout.MeshAccess;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Removes the passive health and request counts of upstreams that are gone or down, so that an
 * upstream that restarts is not judged by failures from before the restart.
 */
public final class UpstreamStatsCleanup implements ControlTask {
  private static final Set<MemberStatus> LIVE =
      EnumSet.of(MemberStatus.ALIVE, MemberStatus.SUSPECT);
  private static final long INTERVAL_MILLIS = 1_000;

  private final EntryService entry;
  private final MeshAccess mesh;
  private long cleanedMillis;

  /**
   * Creates the task.
   *
   * @param entry holds the statistics of upstreams
   * @param mesh supplies the members
   */
  public UpstreamStatsCleanup(EntryService entry, MeshAccess mesh) {
    this.entry = entry;
    this.mesh = mesh;
  }

  @Override
  public void tick(long nowMillis) {
    if (nowMillis - cleanedMillis < INTERVAL_MILLIS) {
      return;
    }
    cleanedMillis = nowMillis;
    entry.retainUpstreams(
        mesh.members().stream()
            .filter(member -> LIVE.contains(member.status()))
            .flatMap(member -> member.endpoint().stream())
            .filter(endpoint -> endpoint.state() != EndpointState.DOWN)
            .map(Endpoint::upstream)
            .collect(Collectors.toSet()));
  }

  @Override
  public void received(PeerMessage message, long nowMillis) {
    // Messages do not affect the statistics.
  }

  @Override
  public void applied(Configuration configuration, long nowMillis) {
    // Configurations do not affect the statistics.
  }
}
