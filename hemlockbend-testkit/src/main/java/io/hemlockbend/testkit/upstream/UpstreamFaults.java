package io.hemlockbend.testkit.upstream;

/**
 * The faults injected into a stand-in upstream.
 *
 * @param failurePermille the share of requests that run and are answered with status 500, 0 to 1000
 * @param extraMillis the additional service time of each request
 * @param truncate whether answers are cut off after half of the body
 * @param pathPrefix the path prefix of the requests with the above faults; empty for all
 * @param silenceOpenConnections whether the connections that are open now never answer again
 * @param fallCold whether a cold start begins now
 */
public record UpstreamFaults(
    int failurePermille,
    long extraMillis,
    boolean truncate,
    String pathPrefix,
    boolean silenceOpenConnections,
    boolean fallCold) {
  /** No faults. */
  public static final UpstreamFaults NONE = new UpstreamFaults(0, 0, false, "", false, false);

  /** Returns faults that fail a share of the requests under a path. */
  public static UpstreamFaults failing(int permille, String pathPrefix) {
    return new UpstreamFaults(permille, 0, false, pathPrefix, false, false);
  }

  /** Returns faults with an additional service time for all requests. */
  public static UpstreamFaults slow(long extraMillis) {
    return new UpstreamFaults(0, extraMillis, false, "", false, false);
  }

  /** Returns faults that cut off all answers half-way. */
  public static UpstreamFaults truncating() {
    return new UpstreamFaults(0, 0, true, "", false, false);
  }

  /** Returns faults that silence the connections that are open now. */
  public static UpstreamFaults silent() {
    return new UpstreamFaults(0, 0, false, "", true, false);
  }

  /** Returns faults that begin a cold start now. */
  public static UpstreamFaults cold() {
    return new UpstreamFaults(0, 0, false, "", false, true);
  }
}
