package io.hemlockbend.node.entry;

import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.node.control.ControlTask;
import io.hemlockbend.node.rollout.MeshAccess;
import java.util.stream.Collectors;

/** Forgets now and then what an entry learnt of upstreams that are gone. */
public final class CellCleanup implements ControlTask {
  private static final long INTERVAL_MILLIS = 30_000;

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
            .map(Member::endpoint)
            .flatMap(endpoint -> endpoint.map(Endpoint::upstream).stream())
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
