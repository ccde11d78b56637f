package io.hemlockbend.testkit.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Measures the heap that a value keeps, as the growth over several copies after collection. */
final class Retained {
  private static final int COPIES = 8;
  private static final int COLLECTIONS = 3;

  private Retained() {}

  static double bytes(Supplier<?> maker) {
    List<Object> kept = new ArrayList<>();
    kept.add(maker.get());
    long before = used();
    for (int i = 0; i < COPIES; i++) {
      kept.add(maker.get());
    }
    double grown = used() - before;
    if (kept.size() != COPIES + 1) {
      throw new IllegalStateException("copies were lost");
    }
    return grown / COPIES;
  }

  private static long used() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
