package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.UpstreamId;

/** Load and health of upstreams as observed by an entry in its own traffic; thread-safe. */
public interface UpstreamView {
  /**
   * Returns the number of requests of this entry that the upstream has in flight.
   *
   * @param upstream the upstream
   */
  int outstanding(UpstreamId upstream);

  /**
   * Returns whether the upstream is temporarily ejected because of recent failures.
   *
   * @param upstream the upstream
   */
  boolean ejected(UpstreamId upstream);
}
