package io.hemlockbend.core.withdrawal;

import io.hemlockbend.core.model.DomainState;

/** Computes the part of its fair share of new work that a failure domain may get. */
public final class DomainGate {
  /** The full fair share, in thousandths. */
  public static final int FULL_PERMILLE = 1000;

  /** The share at the start of a restore, in thousandths; low, since idle upstreams may be cold. */
  public static final int FIRST_PERMILLE = 50;

  /**
   * Time after the acceptance of a withdrawal from which on the domain gets no new work: a node
   * without contact stops within the convergence bound of 3 s, a request forwarded by an entry
   * before that is refused by the admission in the domain or arrives within 1 s, and clock and
   * reporting offsets add up to 1 s.
   */
  public static final long NO_NEW_WORK_MILLIS = 5_000;

  private DomainGate() {}

  /**
   * Returns the part of its fair share that a domain may get now.
   *
   * @param state the domain's state, or null when it is in full use
   * @param nowMillis the time in milliseconds since the epoch
   * @return 0 when withdrawn, increasing during a restore, {@link #FULL_PERMILLE} in full use
   */
  public static int share(DomainState state, long nowMillis) {
    return switch (state) {
      case null -> FULL_PERMILLE;
      case DomainState.Withdrawn withdrawn -> 0;
      case DomainState.Restoring restoring -> rampShare(restoring, nowMillis);
    };
  }

  /**
   * Returns whether a restore has reached full use.
   *
   * @param state the domain's state
   * @param nowMillis the time in milliseconds since the epoch
   */
  public static boolean restored(DomainState state, long nowMillis) {
    return state instanceof DomainState.Restoring && share(state, nowMillis) == FULL_PERMILLE;
  }

  /**
   * Returns at least {@link #FIRST_PERMILLE}, also on a node whose clock is behind the committer's.
   */
  private static int rampShare(DomainState.Restoring restoring, long nowMillis) {
    long passed = Math.max(0, nowMillis - restoring.startMillis());
    if (passed >= restoring.rampMillis()) {
      return FULL_PERMILLE;
    }
    return FIRST_PERMILLE
        + (int) ((FULL_PERMILLE - FIRST_PERMILLE) * passed / restoring.rampMillis());
  }
}
