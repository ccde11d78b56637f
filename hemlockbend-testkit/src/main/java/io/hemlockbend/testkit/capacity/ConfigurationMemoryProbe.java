package io.hemlockbend.testkit.capacity;

import java.util.List;

/** Measures the heap retained by a configuration. */
final class ConfigurationMemoryProbe implements Probe {
  private static final double KIB = 1024;

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "distribution",
        "configuration, heap",
        "services",
        "KiB",
        List.of(50, 100, 200, 350),
        Fleet.TARGET_SERVICES);
  }

  @Override
  public double measure(int size) {
    return RetainedHeap.bytes(() -> Fleet.configuration(size)) / KIB;
  }
}
