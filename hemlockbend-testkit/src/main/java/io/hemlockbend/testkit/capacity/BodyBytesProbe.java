package io.hemlockbend.testkit.capacity;

import io.hemlockbend.codec.MessagePackCodec;
import java.util.List;

/** Measures the encoded size of a whole configuration. */
final class BodyBytesProbe implements Probe {
  private final MessagePackCodec codec = new MessagePackCodec();

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "distribution",
        "whole configuration on the wire",
        "services",
        "bytes",
        List.of(50, 100, 200, 350),
        Fleet.TARGET_SERVICES);
  }

  @Override
  public double measure(int size) {
    return codec.encode(Fleet.configuration(size)).length;
  }
}
