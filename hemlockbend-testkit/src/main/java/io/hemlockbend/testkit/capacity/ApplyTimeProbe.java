package io.hemlockbend.testkit.capacity;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.JsonDigester;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import java.util.List;

/** Measures the time to apply one change and compute the digest of the result. */
final class ApplyTimeProbe implements Probe {
  private static final double NANOS_PER_MICRO = 1e3;

  private final JsonDigester digester = new JsonDigester(new JsonCodec());

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "distribution",
        "one change applied and verified",
        "services",
        "us",
        List.of(50, 100, 200, 350),
        Fleet.TARGET_SERVICES);
  }

  @Override
  public double measure(int size) {
    Configuration base = Fleet.configuration(size);
    List<Change> change = List.of(new Change.PutRoute(Fleet.route(0, 9)));
    return Timing.nanos(() -> digester.digest(ChangeApplier.apply(base, change))) / NANOS_PER_MICRO;
  }
}
