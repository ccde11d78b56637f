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
 * Forgets what an entry learnt of upstreams that are gone or down, so that one that comes back is
 * not held to the failures of its earlier life.
 */
public final class CellCleanup implements ControlTask {
  private static final Set<MemberStatus> LIVE =
      EnumSet.of(MemberStatus.ALIVE, MemberStatus.SUSPECT);
  private static final long INTERVAL_MILLIS = 1_000;

  private final EntryService entry;
  private final MeshAccess mesh;
  private long cleanedMillis;

  /**
   * Makes the task.
   *
   * @param entry keeps the cells
   * @param mesh knows the members
   */
  public CellCleanup(EntryService entry, MeshAccess mesh) {
    this.entry = entry;
    this.mesh = mesh;
  }

  @Override
  public void tick(long nowMillis) {
    if (nowMillis - cleanedMillis < INTERVAL_MILLIS) {
      return;
    }
    cleanedMillis = nowMillis;
    entry.keepOnly(
        mesh.members().stream()
            .filter(member -> LIVE.contains(member.status()))
            .flatMap(member -> member.endpoint().stream())
            .filter(endpoint -> endpoint.state() != EndpointState.DOWN)
            .map(Endpoint::upstream)
            .collect(Collectors.toSet()));
  }

  @Override
  public void received(PeerMessage message, long nowMillis) {
    // Messages do not concern the cells.
  }

  @Override
  public void applied(Configuration configuration, long nowMillis) {
    // Configurations do not concern the cells.
  }
}
