package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.routing.RoutingInput;
import io.hemlockbend.core.routing.RoutingTable;
import java.util.List;

/** Measures the time to rebuild the routing table after a membership change. */
final class RoutingTableTimeProbe implements Probe {
  private static final double NANOS_PER_MICRO = 1e3;

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "entry",
        "routing table, made anew",
        "members",
        "us",
        List.of(100, 400, 800, 1600, 3100),
        Fleet.TARGET_UPSTREAMS);
  }

  @Override
  public double measure(int size) {
    RoutingInput input = Fleet.routingInput(size);
    return Timing.nanos(() -> RoutingTable.build(input)) / NANOS_PER_MICRO;
  }
}
