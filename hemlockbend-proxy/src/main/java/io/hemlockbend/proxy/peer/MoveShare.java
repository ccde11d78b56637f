package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionName;

/**
 * The part of a service's traffic that a version gets while it is moved, as the node that leads the
 * move decided.
 *
 * @param service the service
 * @param to the version
 * @param order which order of the operator this serves; a greater one is newer
 * @param step counts the decisions on the order; a greater one is newer
 * @param permille the version's share
 * @param elapsedMillis how long the move had lasted then
 * @param state how far the move is
 */
public record MoveShare(
    ServiceName service,
    VersionName to,
    long order,
    long step,
    int permille,
    long elapsedMillis,
    MoveOrder.State state) {
  /** Returns whether this decision replaces another one on the same service. */
  public boolean newerThan(MoveShare other) {
    return order != other.order ? order > other.order : step > other.step;
  }
}
