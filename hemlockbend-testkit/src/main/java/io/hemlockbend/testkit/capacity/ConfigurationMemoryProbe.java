package io.hemlockbend.testkit.capacity;

import java.util.List;

/** Measures the heap that a configuration keeps. */
final class ConfigurationMemoryProbe implements Probe {
  private static final double KIB = 1024;

  @Override
  public String role() {
    return "distribution";
  }

  @Override
  public String name() {
    return "configuration, heap";
  }

  @Override
  public String sizeUnit() {
    return "services";
  }

  @Override
  public String unit() {
    return "KiB";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(50, 100, 200, 350);
  }

  @Override
  public int target() {
    return Fleet.TARGET_SERVICES;
  }

  @Override
  public double measure(int size) {
    return Retained.bytes(() -> Fleet.configuration(size)) / KIB;
  }
}
