package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.VersionKey;

/** Counts the upstreams of a version that take work, outside withdrawn failure domains. */
@FunctionalInterface
public interface ReadyUpstreams {
  /**
   * Returns the number of ready upstreams.
   *
   * @param key the version
   */
  int ready(VersionKey key);
}
