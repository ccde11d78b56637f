package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.StoreVersion;
import java.util.Optional;

/**
 * The share of a service's traffic that a version gets during a move, as decided by the node that
 * leads the move.
 *
 * @param service the service
 * @param to the version
 * @param order the version of the store that wrote the order; a greater one is newer
 * @param step the number of the decision on that order; a greater one is newer
 * @param permille the share of the version, in thousandths
 * @param onlyUpstream the upstream of the version that gets all of the share, if only one does
 * @param elapsedMillis how long the move had run when this was decided
 * @param state the progress of the move
 */
public record MoveShare(
    ServiceName service,
    VersionName to,
    StoreVersion order,
    long step,
    int permille,
    Optional<UpstreamId> onlyUpstream,
    long elapsedMillis,
    MoveOrder.State state) {
  /** Returns the same decision on the order as it was written again. */
  public MoveShare withOrder(StoreVersion rewritten) {
    return new MoveShare(
        service, to, rewritten, step, permille, onlyUpstream, elapsedMillis, state);
  }

  /** Returns whether this decision replaces another one on the same service. */
  public boolean newerThan(MoveShare other) {
    return order.equals(other.order) ? step > other.step : order.newerThan(other.order);
  }
}
