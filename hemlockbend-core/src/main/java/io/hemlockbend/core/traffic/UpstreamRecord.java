package io.hemlockbend.core.traffic;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;

/**
 * What an upstream says of itself.
 *
 * @param id the upstream
 * @param startedMillis when its process started, milliseconds since the epoch; a greater one is a
 *     newer process
 * @param service its service
 * @param version the version of its software
 * @param domain its failure domain
 * @param address its address, {@code IP:PORT}
 * @param slots how many requests it runs at once
 * @param draining whether it leaves
 * @param coldMillis how long it stays cold from the time of the record on; 0 when warm
 * @param sequence counts the records of one process; a smaller one is older
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

  /** Returns whether this record replaces another one of the upstream at the same address. */
  public boolean newerThan(UpstreamRecord other) {
    if (startedMillis != other.startedMillis) {
      return startedMillis > other.startedMillis;
    }
    return !id.equals(other.id) || sequence > other.sequence;
  }
}
