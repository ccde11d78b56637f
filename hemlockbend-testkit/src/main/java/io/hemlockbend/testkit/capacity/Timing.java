package io.hemlockbend.testkit.capacity;

import java.util.Arrays;

/**
 * Times an operation. Uses the median over batches, so that a pause of the instance has little
 * effect.
 */
final class Timing {
  private static final int BATCHES = 15;
  private static final int WARM_UP_BATCHES = 6;
  private static final long BATCH_NANOS = 20_000_000;

  private Timing() {}

  /** Returns the duration of one call in nanoseconds. */
  static double nanos(Runnable operation) {
    int calls = callsPerBatch(operation);
    for (int i = 0; i < WARM_UP_BATCHES; i++) {
      meanNanos(operation, calls);
    }
    double[] means = new double[BATCHES];
    for (int i = 0; i < BATCHES; i++) {
      means[i] = meanNanos(operation, calls);
    }
    Arrays.sort(means);
    return means[BATCHES / 2];
  }

  private static int callsPerBatch(Runnable operation) {
    int calls = 1;
    while (meanNanos(operation, calls) * calls < BATCH_NANOS) {
      calls *= 2;
    }
    return calls;
  }

  private static double meanNanos(Runnable operation, int calls) {
    long start = System.nanoTime();
    for (int i = 0; i < calls; i++) {
      operation.run();
    }
    return (double) (System.nanoTime() - start) / calls;
  }
}
