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
 * <p>Not thread-safe. Times are milliseconds of a monotonic clock.
 */
public final class SharedRetryBudget {
  /**
   * The share of the ratio that retries may use. The rest is for the calls that repeated runs make
   * again, which count as retries at the services that they call.
   */
  private static final double USED_RATIO = 0.5;

  /** The share of the slack in use, half of it as a burst; the rest covers nodes not yet known. */
  private static final double USED_SLACK = 0.75;

  /** Mean lifetime of what requests have earned; short compared with the window. */
  private static final double EARNED_LIFETIME_MILLIS = 2_000;

  private final RetryBounds bounds;
  private double earned;
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
   * @param nodes the number of nodes, this one included; 0 if it is not known
   * @param nowMillis the time
   */
  public void recordCall(int nodes, long nowMillis) {
    update(nodes, nowMillis);
    earned += USED_RATIO * bounds.ratio();
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nodes the number of nodes, this one included; 0 if it is not known
   * @param nowMillis the time
   * @return whether the retry is allowed
   */
  public boolean tryAcquire(int nodes, long nowMillis) {
    update(nodes, nowMillis);
    if (earned + slack < 1) {
      return false;
    }
    double fromEarned = Math.min(1, earned);
    earned -= fromEarned;
    slack -= 1 - fromEarned;
    return true;
  }

  private void update(int nodes, long nowMillis) {
    long elapsedMillis = Math.max(0, nowMillis - updatedMillis);
    updatedMillis = Math.max(updatedMillis, nowMillis);
    earned *= Math.exp(-elapsedMillis / EARNED_LIFETIME_MILLIS);
    if (nodes > 0) {
      double burst = USED_SLACK / 2 * bounds.slack() / nodes;
      slack = Math.min(burst, slack + burst * elapsedMillis / bounds.windowMillis());
    }
  }
}
