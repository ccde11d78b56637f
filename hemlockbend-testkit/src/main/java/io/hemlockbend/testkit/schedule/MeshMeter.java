package io.hemlockbend.testkit.schedule;

import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.core.message.Outbound;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.Supplier;

/** Measures the cost of a run: encoded message bytes and processor time of the core. */
final class MeshMeter {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int FRAME_HEADER_BYTES = 4;

  private final MessagePackCodec codec = new MessagePackCodec();
  private boolean countsBytes;
  private long bytes;
  private long messages;
  private long coreNanos;
  private long refusals;

  /** Enables the byte count, for which every message is encoded. */
  void countBytes() {
    countsBytes = true;
  }

  void sent(Outbound outbound) {
    messages++;
    if (countsBytes) {
      bytes += FRAME_HEADER_BYTES + codec.encode(outbound.message()).length;
    }
  }

  <T> T timed(Supplier<T> call) {
    long from = THREADS.getCurrentThreadCpuTime();
    T result = call.get();
    coreNanos += THREADS.getCurrentThreadCpuTime() - from;
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
