package io.hemlockbend.node.control;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.routing.RoutingTable;
import io.hemlockbend.node.TrafficView;
import io.hemlockbend.node.admission.Quarantine;
import java.util.Optional;

/** Publishes the routing table from the control thread to traffic threads as one reference. */
public final class PublishedTable implements TrafficView {
  private final Quarantine quarantine;
  private final Clock clock;
  private volatile Optional<RoutingTable> table = Optional.empty();

  /**
   * Creates an empty reference: the node may not serve yet.
   *
   * @param quarantine the requests suspected of crashing upstreams
   * @param clock the time source
   */
  public PublishedTable(Quarantine quarantine, Clock clock) {
    this.quarantine = quarantine;
    this.clock = clock;
  }

  void publish(RoutingTable next) {
    table = Optional.of(next);
  }

  /** Withdraws the table, so that the node refuses requests with the outcome "not run". */
  void fence() {
    table = Optional.empty();
  }

  @Override
  public Optional<RoutingTable> table() {
    return table;
  }

  @Override
  public Standing standing(RequestId request) {
    return quarantine.standing(request, clock.millis());
  }
}
