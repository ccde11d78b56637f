package io.hemlockbend.core.api;

import java.util.Comparator;

/**
 * Identifies an upstream version: a version of a service.
 *
 * @param service the service
 * @param version the version's name within the service
 */
public record VersionKey(ServiceName service, VersionName version)
    implements Comparable<VersionKey> {
  private static final Comparator<VersionKey> ORDER =
      Comparator.comparing(VersionKey::service).thenComparing(VersionKey::version);

  @Override
  public int compareTo(VersionKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return service + "/" + version;
  }
}
