package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.VersionKey;

/** Tells how many upstreams of a version take work, outside withdrawn failure domains. */
@FunctionalInterface
public interface ReadyUpstreams {
  /**
   * Returns their number.
   *
   * @param key the version
   */
  int ready(VersionKey key);
}
