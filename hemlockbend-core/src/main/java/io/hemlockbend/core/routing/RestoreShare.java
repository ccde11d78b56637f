package io.hemlockbend.core.routing;

import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.model.Move;

/** Computes how much of its fair share a failure domain gets while it is being restored. */
final class RestoreShare {
  private static final int LEAST_PERMILLE = 20;

  private RestoreShare() {}

  /**
   * Returns the share, which grows linearly over the ramp from a small part that warms the domain's
   * upstreams.
   *
   * @param state the domain's state, or null in full use
   * @param nowMillis the time, milliseconds since the epoch
   * @return 1 to 1000 permille; a withdrawn domain is filtered before
   */
  static int permille(DomainState state, long nowMillis) {
    if (!(state instanceof DomainState.Restoring restoring)) {
      return Move.ALL_PERMILLE;
    }
    if (restoring.rampMillis() <= 0) {
      return Move.ALL_PERMILLE;
    }
    long passed = Math.max(0, nowMillis - restoring.startMillis());
    long grown = passed * Move.ALL_PERMILLE / restoring.rampMillis();
    return Math.clamp(grown, LEAST_PERMILLE, Move.ALL_PERMILLE);
  }
}
