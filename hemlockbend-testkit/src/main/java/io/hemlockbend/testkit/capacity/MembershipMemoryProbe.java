package io.hemlockbend.testkit.capacity;

import java.util.List;

/** Measures the heap that the membership keeps. */
final class MembershipMemoryProbe implements Probe {
  private static final double KIB = 1024;

  @Override
  public String role() {
    return "membership";
  }

  @Override
  public String name() {
    return "members, heap";
  }

  @Override
  public String sizeUnit() {
    return "members";
  }

  @Override
  public String unit() {
    return "KiB";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(100, 400, 800, 1600, 3100);
  }

  @Override
  public int target() {
    return Fleet.TARGET_UPSTREAMS;
  }

  @Override
  public double measure(int size) {
    return Retained.bytes(() -> Meshes.knowing(size)) / KIB;
  }
}
