package io.hemlockbend.core.rollout;

import io.hemlockbend.core.model.Move;

/**
 * The steps of a move, scheduled relative to its deadline. The last step is due before the
 * deadline, which leaves time for a failover of the lease holder or a slow platform.
 */
public final class MoveSchedule {
  /**
   * The share of the last step but one, held longest: both versions have enough calls to compare,
   * so that a version that turns bad late is detected fast.
   */
  public static final int HELD_PERMILLE = 600;

  /** The share up to which steps open by time despite suspicion, as with too few calls. */
  public static final int SMALL_PERMILLE = 30;

  /** Minimum time that a step is in force before the next one opens. */
  public static final long SETTLE_MILLIS = 5_000;

  private static final int[] SHARES_PERMILLE = {10, 30, 80, 180, 350, HELD_PERMILLE, 1000};
  private static final int[] DUE_PERMILLE = {0, 40, 100, 180, 270, 360, 700};
  private static final int PERMILLE = 1000;

  private MoveSchedule() {}

  /** Returns the share of the step after the move's current one. */
  public static int nextShare(Move move) {
    return SHARES_PERMILLE[nextIndex(move)];
  }

  /** Returns when the next step is due, milliseconds since the epoch. */
  public static long dueMillis(Move move) {
    return at(move, DUE_PERMILLE[nextIndex(move)]);
  }

  /**
   * Returns when the next step opens even with too few calls to judge the version, milliseconds
   * since the epoch: half way to the due time of the step after it.
   */
  public static long dueWithoutEvidenceMillis(Move move) {
    int index = nextIndex(move);
    int after = index + 1 < DUE_PERMILLE.length ? DUE_PERMILLE[index + 1] : PERMILLE;
    return at(move, (DUE_PERMILLE[index] + after) / 2);
  }

  private static int nextIndex(Move move) {
    for (int i = 0; i < SHARES_PERMILLE.length; i++) {
      if (SHARES_PERMILLE[i] > move.sharePermille()) {
        return i;
      }
    }
    return SHARES_PERMILLE.length - 1;
  }

  private static long at(Move move, int permille) {
    long durationMillis = move.deadlineMillis() - move.startMillis();
    return move.startMillis() + durationMillis * permille / PERMILLE;
  }
}
