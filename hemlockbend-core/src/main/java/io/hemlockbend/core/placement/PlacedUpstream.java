package io.hemlockbend.core.placement;

import io.hemlockbend.core.api.NodeId;

/**
 * An upstream that may take a request, as an entry sees it.
 *
 * @param node the node beside it
 * @param running how many requests it runs or holds, with this entry's own up to now
 * @param patient how many of these wait that can wait long; requests that cannot go before them
 * @param late how many of these wait as late, behind all others
 * @param limit how many it may run at once; more than 0
 * @param longestQueue how many requests wait there at most
 * @param serviceMillis how long a request usually takes there; 0 when not known
 * @param failureShare the share of its latest requests that failed
 * @param near whether it is in the entry's own failure domain
 * @param crossingMillis how long the way there and back takes, with the request's body
 * @param bodyWaitMillis how long the request's body waits before it may be sent there
 */
public record PlacedUpstream(
    NodeId node,
    double running,
    int patient,
    int late,
    int limit,
    int longestQueue,
    double serviceMillis,
    double failureShare,
    boolean near,
    double crossingMillis,
    double bodyWaitMillis) {
  private static final double UNKNOWN_SERVICE_MILLIS = 50;

  /** Keeps the cost of an upstream that fails everything finite. */
  private static final double LEAST_SUCCESS = 0.05;

  /**
   * Returns roughly how long a request would wait there before it runs.
   *
   * @param kind what may go before it
   */
  public double waitMillis(WaitingKind kind) {
    return serviceMillis * Math.max(0, ahead(kind) + 1 - limit) / limit;
  }

  /**
   * Returns whether a request would be refused there: too many wait, or its answer would come late
   * behind them or behind the bodies that come in first. Asking such an upstream all the same costs
   * both nodes time under the very load that fills it.
   *
   * @param kind what may go before it
   * @param leftMillis how long an answer is of use
   */
  public boolean full(WaitingKind kind, double leftMillis) {
    double ahead = ahead(kind);
    return ahead - limit >= longestQueue
        || ahead >= limit && waitMillis(kind) + serviceMillis > leftMillis
        || bodyWaitMillis > 0 && bodyWaitMillis + crossingMillis + serviceMillis > leftMillis;
  }

  /** Returns how a request would wait there whose answer is of use for some time. */
  public WaitingKind kind(double leftMillis) {
    return WaitingKind.inTime(leftMillis - serviceMillis);
  }

  private double ahead(WaitingKind kind) {
    return switch (kind) {
      case HURRIED -> Math.max(0, running - patient - late);
      case PATIENT -> Math.max(0, running - late);
      case LATE -> running;
    };
  }

  /**
   * Returns roughly how long a request would take there, tries that fail included: a failure costs
   * the caller more than the time of another try, so that they count twice.
   */
  public double cost() {
    double service = serviceMillis > 0 ? serviceMillis : UNKNOWN_SERVICE_MILLIS;
    double success = Math.max(LEAST_SUCCESS, 1 - failureShare);
    double way = crossingMillis + bodyWaitMillis;
    return (service * (running + 1) / limit + way) / (success * success);
  }
}
