package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.routing.RoutingInput;
import io.hemlockbend.core.routing.RoutingTable;
import java.util.List;
import java.util.Set;

/** Measures the heap that a routing table keeps besides members and configuration. */
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
    RoutingInput input =
        new RoutingInput(
            Fleet.configuration(Fleet.TARGET_SERVICES),
            Fleet.members(size, Fleet.TARGET_SERVICES),
            Set.of(),
            new FailureDomain("domain-0"),
            0);
    return Retained.bytes(() -> RoutingTable.build(input)) / KIB;
  }
}
