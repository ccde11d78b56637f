package io.hemlockbend.testkit.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Measures the heap retained by a value, as the mean growth over several copies after garbage
 * collection.
 */
final class RetainedHeap {
  private static final int COPIES = 8;
  private static final int COLLECTIONS = 3;

  private RetainedHeap() {}

  static double bytes(Supplier<?> factory) {
    List<Object> retained = new ArrayList<>();
    retained.add(factory.get());
    long before = usedBytes();
    for (int i = 0; i < COPIES; i++) {
      retained.add(factory.get());
    }
    double grown = usedBytes() - before;
    if (retained.size() != COPIES + 1) {
      throw new IllegalStateException(
          "expected " + (COPIES + 1) + " retained copies, got " + retained.size());
    }
    return grown / COPIES;
  }

  private static long usedBytes() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
