package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionName;

/**
 * The operator's order to move a service's traffic to a version.
 *
 * @param service the service
 * @param to the version to move to
 * @param order the number of the order; a greater one is newer
 * @param durationMillis how long the move may take
 * @param state the progress of the move
 */
public record MoveOrder(
    ServiceName service, VersionName to, long order, long durationMillis, State state) {
  /** The progress of a move. */
  public enum State {
    /** Traffic is being shifted. */
    RUNNING,
    /** All traffic goes to the version. */
    COMPLETED,
    /** The version was found bad and gets no traffic. */
    ROLLED_BACK
  }

  /** Returns the same order in another state. */
  public MoveOrder withState(State other) {
    return new MoveOrder(service, to, order, durationMillis, other);
  }
}
