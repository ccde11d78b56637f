package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionName;

/**
 * The operator's order to move a service's traffic to a version.
 *
 * @param service the service
 * @param to the version
 * @param order the order's number; a greater one is newer
 * @param durationMillis how long the move may take
 * @param state how far it is
 */
public record MoveOrder(
    ServiceName service, VersionName to, long order, long durationMillis, State state) {
  /** How far a move is. */
  public enum State {
    /** Traffic moves. */
    RUNNING,
    /** All traffic is at the version. */
    COMPLETED,
    /** The version was bad and gets no traffic. */
    ROLLED_BACK
  }

  /** Returns the same order in another state. */
  public MoveOrder in(State other) {
    return new MoveOrder(service, to, order, durationMillis, other);
  }
}
