package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.UpstreamId;

/** What an entry knows of upstreams from its own traffic; read by many threads at once. */
public interface UpstreamView {
  /**
   * Returns how many requests of this entry the upstream has in flight.
   *
   * @param upstream the upstream
   */
  int outstanding(UpstreamId upstream);

  /**
   * Returns whether the upstream failed so often of late that it is left alone for a while.
   *
   * @param upstream the upstream
   */
  boolean ejected(UpstreamId upstream);
}
