package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.StoreVersion;

/**
 * The operator's order to move a service's traffic to a version.
 *
 * @param service the service
 * @param to the version to move to
 * @param order the version of the store that wrote the order; a greater one is newer
 * @param durationMillis how long the move may take
 * @param state the progress of the move
 */
public record MoveOrder(
    ServiceName service, VersionName to, StoreVersion order, long durationMillis, State state) {
  /** The progress of a move. */
  public enum State {
    /** Traffic is being shifted. */
    RUNNING,
    /** All traffic goes to the version. */
    COMPLETED,
    /** The version was found bad and gets no traffic. */
    ROLLED_BACK
  }

  /** Returns whether another order asks for the same, whenever it was written. */
  public boolean sameContent(MoveOrder other) {
    return service.equals(other.service)
        && to.equals(other.to)
        && durationMillis == other.durationMillis;
  }

  /**
   * Returns whether this order is the one known before, possibly written again since the store was
   * restored.
   *
   * @param known the order known before, or null
   * @param restoredLately whether orders may still be written again
   */
  public boolean continues(MoveOrder known, boolean restoredLately) {
    if (known == null) {
      return false;
    }
    boolean rewritten = restoredLately || order.era() != known.order.era();
    return order.equals(known.order) || rewritten && sameContent(known);
  }

  /** Returns the same order in another state. */
  public MoveOrder withState(State other) {
    return new MoveOrder(service, to, order, durationMillis, other);
  }
}
