package io.hemlockbend.testkit.capacity;

import java.util.List;

/** Measures the heap retained by the membership. */
final class MembershipMemoryProbe implements Probe {
  private static final double KIB = 1024;

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "membership",
        "members, heap",
        "members",
        "KiB",
        List.of(100, 400, 800, 1600, 3100),
        Fleet.TARGET_UPSTREAMS);
  }

  @Override
  public double measure(int size) {
    return RetainedHeap.bytes(() -> Memberships.withMembers(size)) / KIB;
  }
}
