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
  /** More than one process runs at once; larger values overflow sums of queues. */
  private static final int MAX_SLOTS = 100_000;

  private static final long MAX_COLD_MILLIS = 86_400_000;

  /**
   * Validates the numbers, which other processes supply.
   *
   * @throws IllegalArgumentException if one is out of range
   */
  public UpstreamRecord {
    if (slots < 1 || slots > MAX_SLOTS) {
      throw new IllegalArgumentException("slots must be 1 to " + MAX_SLOTS + ", got " + slots);
    }
    if (coldMillis < 0 || coldMillis > MAX_COLD_MILLIS) {
      throw new IllegalArgumentException(
          "cold time must be 0 to " + MAX_COLD_MILLIS + " ms, got " + coldMillis);
    }
    if (startedMillis < 0 || sequence < 0) {
      throw new IllegalArgumentException(
          "start time and sequence must not be negative, got "
              + startedMillis
              + " and "
              + sequence);
    }
  }

  /** Returns the process that reports. */
  public UpstreamProcess process() {
    return new UpstreamProcess(id, startedMillis);
  }

  /** Returns this record as that of an upstream that is shutting down. */
  public UpstreamRecord asDraining() {
    return new UpstreamRecord(
        id, startedMillis, service, version, domain, address, slots, true, coldMillis, sequence);
  }

  /**
   * Returns whether a stored record tells a restarted node less than this one: it is that of an
   * earlier process, or does not say that this process leaves. Later announcements need not be
   * stored.
   */
  public boolean saysMoreThan(UpstreamRecord stored) {
    if (process().equals(stored.process())) {
      return draining && !stored.draining;
    }
    return startedMillis >= stored.startedMillis;
  }

  /** Returns whether this record supersedes another one for the same address. */
  public boolean newerThan(UpstreamRecord other) {
    if (startedMillis != other.startedMillis) {
      return startedMillis > other.startedMillis;
    }
    return !id.equals(other.id) || sequence > other.sequence;
  }
}
