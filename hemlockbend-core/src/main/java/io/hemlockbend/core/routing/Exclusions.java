package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import java.util.HashSet;
import java.util.Set;

/**
 * Upstreams, failure domains and versions that are excluded since earlier attempts failed there.
 *
 * @param upstreams upstreams of earlier attempts
 * @param domains failure domains that accept no new work
 * @param versions versions that accept no traffic
 */
public record Exclusions(
    Set<UpstreamId> upstreams, Set<FailureDomain> domains, Set<VersionKey> versions) {
  /** Nothing is excluded. */
  public static final Exclusions NONE = new Exclusions(Set.of(), Set.of(), Set.of());

  /** Copies the sets. */
  public Exclusions {
    upstreams = Set.copyOf(upstreams);
    domains = Set.copyOf(domains);
    versions = Set.copyOf(versions);
  }

  /** Returns a copy that also excludes an upstream. */
  public Exclusions with(UpstreamId upstream) {
    return new Exclusions(plus(upstreams, upstream), domains, versions);
  }

  /** Returns a copy that also excludes a failure domain. */
  public Exclusions with(FailureDomain domain) {
    return new Exclusions(upstreams, plus(domains, domain), versions);
  }

  /** Returns a copy that also excludes a version. */
  public Exclusions with(VersionKey version) {
    return new Exclusions(upstreams, domains, plus(versions, version));
  }

  /** Returns whether the candidate is not excluded. */
  boolean allows(Candidate candidate) {
    return !upstreams.contains(candidate.upstream())
        && !domains.contains(candidate.domain())
        && !versions.contains(candidate.key());
  }

  private static <T> Set<T> plus(Set<T> set, T element) {
    Set<T> extended = new HashSet<>(set);
    extended.add(element);
    return extended;
  }
}
