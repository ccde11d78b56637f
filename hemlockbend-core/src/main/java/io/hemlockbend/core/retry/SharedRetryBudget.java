package io.hemlockbend.core.retry;

/**
 * One node's part of a retry budget that all nodes share: in each window, all retries to a service
 * stay below a share of the requests for it plus a slack. The nodes do not coordinate, so each one
 * keeps to a part that adds up to the budget however the requests are distributed among them.
 *
 * <p>A retry is paid from what the node's own requests have earned recently, and from its part of
 * the slack. What was earned expires within seconds: it must not add to what later windows earn.
 * The part of the slack accrues over time from the start of the process, so that a node that
 * restarts, maybe together with many others, does not spend what its last process has spent
 * already. It depends on the number of nodes; until that is known, none accrues.
 *
 * <p>A repeated run repeats its nested calls too, and these count as retries at the services that
 * they call. What nested calls have earned is kept for their own retries: nobody else repeats them,
 * and the run that made them is wasted without an answer, while a caller can come back itself.
 *
 * <p>Not thread-safe. Times are milliseconds of a monotonic clock.
 */
public final class SharedRetryBudget {
  /** The share of the ratio in use; the rest is for what earlier requests have earned. */
  private static final double USED_RATIO = 0.65;

  /** The share of the slack in use, half of it as a burst; the rest covers nodes not yet known. */
  private static final double USED_SLACK = 0.75;

  /** Mean lifetime of what requests have earned; short compared with the window. */
  private static final double EARNED_LIFETIME_MILLIS = 2_000;

  private final RetryBounds bounds;
  private double earned;
  private double earnedByNestedCalls;
  private double slack;
  private long updatedMillis;

  /**
   * Creates the budget of a node for one service.
   *
   * @param bounds the budget of all nodes together
   * @param startMillis when the node's process started
   */
  public SharedRetryBudget(RetryBounds bounds, long startMillis) {
    this.bounds = bounds;
    this.updatedMillis = startMillis;
  }

  /**
   * Records a request of a caller; retries are not recorded.
   *
   * @param nested whether it is a nested call
   * @param repeatProbability the probability that a repeated run made it
   * @param nodes the number of nodes, this one included; 0 if it is not known
   * @param nowMillis the time
   */
  public void recordCall(boolean nested, double repeatProbability, int nodes, long nowMillis) {
    update(nodes, nowMillis);
    double earnedByCall = USED_RATIO * bounds.ratio();
    earned += earnedByCall - repeatProbability;
    earnedByNestedCalls += nested ? earnedByCall : 0;
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nested whether it is the retry of a nested call
   * @param nodes the number of nodes, this one included; 0 if it is not known
   * @param nowMillis the time
   * @return whether the retry is allowed
   */
  public boolean tryAcquire(boolean nested, int nodes, long nowMillis) {
    update(nodes, nowMillis);
    double reserved = nested ? 0 : earnedByNestedCalls;
    if (earned + slack < 1 + reserved) {
      return false;
    }
    double fromEarned = Math.clamp(earned, 0, 1);
    earned -= fromEarned;
    slack -= 1 - fromEarned;
    return true;
  }

  private void update(int nodes, long nowMillis) {
    long elapsedMillis = Math.max(0, nowMillis - updatedMillis);
    updatedMillis = Math.max(updatedMillis, nowMillis);
    double remaining = Math.exp(-elapsedMillis / EARNED_LIFETIME_MILLIS);
    earned *= remaining;
    earnedByNestedCalls *= remaining;
    if (nodes > 0) {
      double burst = USED_SLACK / 2 * bounds.slack() / nodes;
      slack = Math.min(burst, slack + burst * elapsedMillis / bounds.windowMillis());
    }
  }
}
