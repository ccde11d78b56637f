package io.hemlockbend.testkit.upstream;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import java.net.URI;
import java.util.Optional;

/**
 * The settings of a stand-in upstream.
 *
 * @param upstream its id
 * @param start the id of this start of the upstream
 * @param service the service that it belongs to
 * @param version the version that it runs
 * @param slots the number of requests that it serves concurrently; others wait
 * @param serviceMillis the service time of a request
 * @param cold its limit during a cold start
 * @param announceUri the root of its node's announce interface, or empty to announce nothing
 * @param host the IP address to listen on
 * @param port the TCP port, or 0 for any that is free
 * @param seed seeds the random choice of the requests that fail
 */
public record UpstreamSettings(
    UpstreamId upstream,
    StartId start,
    ServiceName service,
    VersionName version,
    int slots,
    long serviceMillis,
    ColdLimit cold,
    Optional<URI> announceUri,
    String host,
    int port,
    long seed) {
  private static final int DEFAULT_SLOTS = 10;
  private static final String LOOPBACK = "127.0.0.1";

  /**
   * The concurrency limit of an upstream during a cold start.
   *
   * @param concurrent the maximum number of requests in flight; others fail
   * @param millis the duration of a cold start
   */
  public record ColdLimit(int concurrent, long millis) {
    /** No cold start. */
    public static final ColdLimit NONE = new ColdLimit(Integer.MAX_VALUE, 0);
  }

  /** Returns settings of a fast, warm upstream on a free port of the loopback interface. */
  public static UpstreamSettings basic(String upstream, String service, String version) {
    return new UpstreamSettings(
        new UpstreamId(upstream),
        new StartId(upstream + "-1"),
        new ServiceName(service),
        new VersionName(version),
        DEFAULT_SLOTS,
        0,
        ColdLimit.NONE,
        Optional.empty(),
        LOOPBACK,
        0,
        1);
  }

  /** Returns the same settings with a node to announce to. */
  public UpstreamSettings withAnnounceUri(URI uri) {
    return new UpstreamSettings(
        upstream,
        start,
        service,
        version,
        slots,
        serviceMillis,
        cold,
        Optional.of(uri),
        host,
        port,
        seed);
  }

  /** Returns the same settings with another service time. */
  public UpstreamSettings withServiceMillis(long millis) {
    return new UpstreamSettings(
        upstream, start, service, version, slots, millis, cold, announceUri, host, port, seed);
  }

  /** Returns the same settings with another number of slots and another cold start limit. */
  public UpstreamSettings withLimits(int otherSlots, ColdLimit otherCold) {
    return new UpstreamSettings(
        upstream,
        start,
        service,
        version,
        otherSlots,
        serviceMillis,
        otherCold,
        announceUri,
        host,
        port,
        seed);
  }
}
