package io.hemlockbend.proxy.peer;

/**
 * The load of an upstream, as seen by the node beside it.
 *
 * @param running how many requests run on it
 * @param queued how many requests are queued at the node beside it
 * @param queuedAmple how many of the queued requests can wait long and still be in time
 * @param queuedLate how many of the queued requests are late and come after all others
 * @param limit the current concurrency limit; 0 when it accepts no work
 * @param serviceMillis the moving average of the service time, in milliseconds; 0 when not known
 * @param failureRate the share of its latest requests that failed, 0 to 1
 * @param bodyWaitMillis how long a large body waits before it may be sent, in milliseconds
 * @param bodyBytesPerMilli the throughput of large bodies on its link, in bytes per millisecond; 0
 *     when not known
 */
public record UpstreamLoad(
    int running,
    int queued,
    int queuedAmple,
    int queuedLate,
    int limit,
    double serviceMillis,
    double failureRate,
    int bodyWaitMillis,
    int bodyBytesPerMilli) {
  /** The load of an upstream that accepts no work. */
  public static final UpstreamLoad CLOSED = new UpstreamLoad(0, 0, 0, 0, 0, 0, 0, 0, 0);

  /** Returns this load with the wait and the throughput of large bodies. */
  public UpstreamLoad withBodyTransfer(double waitMillis, double bytesPerMilli) {
    return new UpstreamLoad(
        running,
        queued,
        queuedAmple,
        queuedLate,
        limit,
        serviceMillis,
        failureRate,
        (int) Math.ceil(waitMillis),
        (int) bytesPerMilli);
  }

  /** Returns the transfer time of a body, without the wait, in milliseconds; 0 when not known. */
  public double bodyTransferMillis(int bytes) {
    return bodyBytesPerMilli == 0 ? 0 : (double) bytes / bodyBytesPerMilli;
  }
}
