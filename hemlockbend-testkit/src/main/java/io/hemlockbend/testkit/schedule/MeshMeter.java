package io.hemlockbend.testkit.schedule;

import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.core.message.Outbound;
import java.util.function.Supplier;

/** Measures what a run costs: bytes as encoded for the wire, and time spent in the core. */
final class MeshMeter {
  private static final int FRAME_HEADER_BYTES = 4;

  private final MessagePackCodec codec = new MessagePackCodec();
  private final boolean countsBytes;
  private long bytes;
  private long messages;
  private long coreNanos;
  private long refusals;

  MeshMeter(boolean countsBytes) {
    this.countsBytes = countsBytes;
  }

  void sent(Outbound outbound) {
    messages++;
    if (countsBytes) {
      bytes += FRAME_HEADER_BYTES + codec.encode(outbound.message()).length;
    }
  }

  <T> T timed(Supplier<T> call) {
    long from = System.nanoTime();
    T result = call.get();
    coreNanos += System.nanoTime() - from;
    return result;
  }

  void refused() {
    refusals++;
  }

  long bytes() {
    return bytes;
  }

  long messages() {
    return messages;
  }

  long coreNanos() {
    return coreNanos;
  }

  long refusals() {
    return refusals;
  }
}
