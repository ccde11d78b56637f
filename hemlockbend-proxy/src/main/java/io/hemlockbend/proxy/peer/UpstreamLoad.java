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
 * @param bodyWaitMillis how long a large body waits until it may be sent there, in milliseconds
 * @param bodyBytesPerMilli how many bytes of large bodies its link carries in a millisecond; 0 when
 *     that is not known
 */
public record UpstreamLoad(
    int running,
    int queued,
    int patient,
    int late,
    int limit,
    double serviceMillis,
    double failureShare,
    int bodyWaitMillis,
    int bodyBytesPerMilli) {
  /** The load of an upstream that takes no work. */
  public static final UpstreamLoad CLOSED = new UpstreamLoad(0, 0, 0, 0, 0, 0, 0, 0, 0);

  /** Returns this load with what is known of the way of large bodies to it. */
  public UpstreamLoad withBodies(double waitMillis, double bytesPerMilli) {
    return new UpstreamLoad(
        running,
        queued,
        patient,
        late,
        limit,
        serviceMillis,
        failureShare,
        (int) Math.ceil(waitMillis),
        (int) bytesPerMilli);
  }

  /** Returns how long a body is on its way once it may be sent, in milliseconds. */
  public double bodyMillis(int bytes) {
    return bodyBytesPerMilli == 0 ? 0 : (double) bytes / bodyBytesPerMilli;
  }
}
