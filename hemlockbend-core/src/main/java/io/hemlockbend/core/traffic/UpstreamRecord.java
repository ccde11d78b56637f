package io.hemlockbend.core.traffic;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;

/**
 * State that an upstream reports about itself.
 *
 * @param id the upstream
 * @param startedMillis start time of its process, milliseconds since the epoch; a greater one is a
 *     newer process
 * @param service its service
 * @param version the version of its software
 * @param domain its failure domain
 * @param address its address, {@code IP:PORT}
 * @param slots requests that it runs at once
 * @param draining whether it is shutting down
 * @param coldMillis how long it stays cold after the time of the record; 0 if warm
 * @param sequence sequence number of the record within one process; a smaller one is older
 */
public record UpstreamRecord(
    UpstreamId id,
    long startedMillis,
    ServiceName service,
    VersionName version,
    FailureDomain domain,
    String address,
    int slots,
    boolean draining,
    long coldMillis,
    long sequence) {

  /** Returns whether this record supersedes another one for the same address. */
  public boolean newerThan(UpstreamRecord other) {
    if (startedMillis != other.startedMillis) {
      return startedMillis > other.startedMillis;
    }
    return !id.equals(other.id) || sequence > other.sequence;
  }
}
