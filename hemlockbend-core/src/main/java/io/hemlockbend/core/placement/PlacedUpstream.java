package io.hemlockbend.core.placement;

import io.hemlockbend.core.api.NodeId;

/**
 * A candidate upstream for a request with its load and latency, as seen by an entry.
 *
 * @param node the node beside the upstream
 * @param running requests running or queued there, including those that this entry has sent
 * @param queuedAmple queued requests with ample slack; those with tight slack are served before
 *     them
 * @param queuedLate queued requests that are already late; they are served after all others
 * @param limit concurrency limit; more than 0
 * @param longestQueue capacity of its queue
 * @param serviceMillis usual service time of a request there; 0 when unknown
 * @param failureRate moving average of the share of its requests that failed, 0 to 1
 * @param local whether it is in the entry's failure domain
 * @param networkMillis network time there and back, including the transfer of the request's body
 * @param bodyWaitMillis how long the request's body is queued before it may be sent there
 */
public record PlacedUpstream(
    NodeId node,
    double running,
    int queuedAmple,
    int queuedLate,
    int limit,
    int longestQueue,
    double serviceMillis,
    double failureRate,
    boolean local,
    double networkMillis,
    double bodyWaitMillis) {
  private static final double UNKNOWN_SERVICE_MILLIS = 50;

  /** Lower bound of the success rate, which keeps the cost finite if all requests fail. */
  private static final double MIN_SUCCESS_RATE = 0.05;

  /**
   * Returns the estimated queueing time of a request.
   *
   * @param slackClass the class that determines which queued requests are served first
   */
  public double waitMillis(SlackClass slackClass) {
    return serviceMillis * Math.max(0, ahead(slackClass) + 1 - limit) / limit;
  }

  /**
   * Returns whether a request would be refused there: the queue is full, or the answer would miss
   * the deadline because of the queue or the bodies that are transferred first. Sending it anyway
   * would cost both nodes time under the very load that fills the queue.
   *
   * @param slackClass the class that determines which queued requests are served first
   * @param leftMillis the time until the deadline
   */
  public boolean full(SlackClass slackClass, double leftMillis) {
    double ahead = ahead(slackClass);
    return ahead - limit >= longestQueue
        || ahead >= limit && waitMillis(slackClass) + serviceMillis > leftMillis
        || bodyWaitMillis > 0 && bodyWaitMillis + networkMillis + serviceMillis > leftMillis;
  }

  /** Returns the class of a request that has to be answered within the given time. */
  public SlackClass slackClass(double leftMillis) {
    return SlackClass.ofSlack(leftMillis - serviceMillis);
  }

  private double ahead(SlackClass slackClass) {
    return switch (slackClass) {
      case TIGHT -> Math.max(0, running - queuedAmple - queuedLate);
      case AMPLE -> Math.max(0, running - queuedLate);
      case LATE -> running;
    };
  }

  /**
   * Returns the estimated time of a request there, including failed attempts. The success rate
   * enters squared, since a failure costs the caller more than the time of another attempt.
   */
  public double cost() {
    double service = serviceMillis > 0 ? serviceMillis : UNKNOWN_SERVICE_MILLIS;
    double success = Math.max(MIN_SUCCESS_RATE, 1 - failureRate);
    double network = networkMillis + bodyWaitMillis;
    return (service * (running + 1) / limit + network) / (success * success);
  }
}
