package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.routing.Exclusions;
import io.hemlockbend.core.routing.Router;
import io.hemlockbend.core.routing.RoutingRequest;
import io.hemlockbend.core.routing.RoutingTable;
import io.hemlockbend.core.routing.UpstreamView;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Measures the time of a routing decision. */
final class RoutingDecisionProbe implements Probe {
  private static final UpstreamView IDLE =
      new UpstreamView() {
        @Override
        public int outstanding(UpstreamId upstream) {
          return 0;
        }

        @Override
        public boolean ejected(UpstreamId upstream) {
          return false;
        }
      };

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "entry", "routing decision", "upstreams of a service", "ns", List.of(4, 9, 18, 36, 72), 9);
  }

  @Override
  public double measure(int size) {
    RoutingTable table = RoutingTable.build(Fleet.routingInput(size * Fleet.TARGET_SERVICES));
    Router router = new Router(IDLE);
    SplittableRandom random = new SplittableRandom(size);
    RoutingRequest request =
        new RoutingRequest(
            new RequestId("request-1"),
            "/service-7/part-1/item",
            Optional.empty(),
            Exclusions.NONE);
    return Timing.nanos(() -> router.decide(table, request, random));
  }
}
