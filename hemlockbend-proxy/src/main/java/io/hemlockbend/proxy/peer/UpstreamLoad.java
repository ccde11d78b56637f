package io.hemlockbend.proxy.peer;

/**
 * How loaded an upstream is, as the node beside it sees it.
 *
 * @param running how many requests it runs
 * @param queued how many wait beside it
 * @param patient how many of these wait that can wait long
 * @param late how many of these wait as late, behind all others
 * @param limit how many it may run at once now; 0 when it takes no work
 * @param serviceMillis how long a request usually takes, in milliseconds; 0 when not known
 * @param failureShare the share of its latest requests that failed, 0 to 1
 */
public record UpstreamLoad(
    int running,
    int queued,
    int patient,
    int late,
    int limit,
    double serviceMillis,
    double failureShare) {
  /** The load of an upstream that takes no work. */
  public static final UpstreamLoad CLOSED = new UpstreamLoad(0, 0, 0, 0, 0, 0, 0);
}
