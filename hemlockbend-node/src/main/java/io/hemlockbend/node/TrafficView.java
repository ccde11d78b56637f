package io.hemlockbend.node;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.routing.RoutingTable;
import java.util.Optional;

/** What traffic threads read of the control state; each call reads one reference. */
public interface TrafficView {
  /** Returns the table in force; empty while the node may not serve. */
  Optional<RoutingTable> table();

  /**
   * Returns how far a request is suspected of crashing upstreams.
   *
   * @param request the request's id
   */
  Standing standing(RequestId request);
}
