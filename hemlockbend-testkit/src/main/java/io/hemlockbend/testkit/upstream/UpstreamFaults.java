package io.hemlockbend.testkit.upstream;

/**
 * What is wrong with a stand-in upstream.
 *
 * @param failurePermille the share of requests that are run and answered with status 500, 0 to 1000
 * @param extraMillis how much longer each request takes
 * @param truncate whether answers break off half-way
 * @param pathPrefix the requests concerned by the above; empty for all
 * @param silenceOpenConnections whether the connections that are open now go silent for good
 * @param fallCold whether a new cold start begins now
 */
public record UpstreamFaults(
    int failurePermille,
    long extraMillis,
    boolean truncate,
    String pathPrefix,
    boolean silenceOpenConnections,
    boolean fallCold) {
  /** Nothing is wrong. */
  public static final UpstreamFaults NONE = new UpstreamFaults(0, 0, false, "", false, false);

  /** Returns faults where a share of the requests under a path fails. */
  public static UpstreamFaults failing(int permille, String pathPrefix) {
    return new UpstreamFaults(permille, 0, false, pathPrefix, false, false);
  }

  /** Returns faults where all requests take longer. */
  public static UpstreamFaults slow(long extraMillis) {
    return new UpstreamFaults(0, extraMillis, false, "", false, false);
  }

  /** Returns faults where all answers break off. */
  public static UpstreamFaults truncating() {
    return new UpstreamFaults(0, 0, true, "", false, false);
  }

  /** Returns faults where the connections that are open now go silent. */
  public static UpstreamFaults silent() {
    return new UpstreamFaults(0, 0, false, "", true, false);
  }

  /** Returns faults where a cold start begins. */
  public static UpstreamFaults cold() {
    return new UpstreamFaults(0, 0, false, "", false, true);
  }
}
