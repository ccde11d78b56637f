package io.hemlockbend.testkit.capacity;

import io.hemlockbend.codec.MessagePackCodec;
import java.util.List;

/** Measures the bytes of a whole configuration on the wire. */
final class BodyBytesProbe implements Probe {
  private final MessagePackCodec codec = new MessagePackCodec();

  @Override
  public String role() {
    return "distribution";
  }

  @Override
  public String name() {
    return "whole configuration on the wire";
  }

  @Override
  public String sizeUnit() {
    return "services";
  }

  @Override
  public String unit() {
    return "bytes";
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
    return codec.encode(Fleet.configuration(size)).length;
  }
}
