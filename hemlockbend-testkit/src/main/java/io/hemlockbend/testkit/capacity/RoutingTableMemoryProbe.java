package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.routing.RoutingInput;
import io.hemlockbend.core.routing.RoutingTable;
import java.util.List;

/** Measures the heap retained by a routing table in addition to members and configuration. */
final class RoutingTableMemoryProbe implements Probe {
  private static final double KIB = 1024;

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "entry",
        "routing table, heap",
        "members",
        "KiB",
        List.of(100, 400, 800, 1600, 3100),
        Fleet.TARGET_UPSTREAMS);
  }

  @Override
  public double measure(int size) {
    RoutingInput input = Fleet.routingInput(size);
    return RetainedHeap.bytes(() -> RoutingTable.build(input)) / KIB;
  }
}
