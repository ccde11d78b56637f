package io.hemlockbend.node;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.routing.RoutingTable;
import java.util.Optional;

/** The control state that traffic threads read; each call reads one published reference. */
public interface TrafficView {
  /** Returns the routing table in force; empty while the node may not serve. */
  Optional<RoutingTable> table();

  /**
   * Returns whether a request is suspected of crashing upstreams or quarantined for it.
   *
   * @param request the request's id
   */
  Standing standing(RequestId request);
}
