package io.hemlockbend.core.placement;

import io.hemlockbend.core.api.NodeId;

/**
 * An upstream that may take a request, as an entry sees it.
 *
 * @param node the node beside it
 * @param running how many requests it runs or holds, with this entry's own up to now
 * @param limit how many it may run at once; more than 0
 * @param serviceMillis how long a request usually takes there; 0 when not known
 * @param failureShare the share of its latest requests that failed
 * @param near whether it is in the entry's own failure domain
 * @param crossingMillis how long the way there and back takes
 */
public record PlacedUpstream(
    NodeId node,
    double running,
    int limit,
    double serviceMillis,
    double failureShare,
    boolean near,
    double crossingMillis) {
  private static final double UNKNOWN_SERVICE_MILLIS = 50;

  /** Keeps the cost of an upstream that fails everything finite. */
  private static final double LEAST_SUCCESS = 0.05;

  /**
   * Returns roughly how long a request would take there, tries that fail included: a failure costs
   * the caller more than the time of another try, so that they count twice.
   */
  public double cost() {
    double service = serviceMillis > 0 ? serviceMillis : UNKNOWN_SERVICE_MILLIS;
    double success = Math.max(LEAST_SUCCESS, 1 - failureShare);
    return (service * (running + 1) / limit + crossingMillis) / (success * success);
  }
}
