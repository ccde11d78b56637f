package io.hemlockbend.testkit.matrix;

import com.sun.management.ThreadMXBean;
import io.hemlockbend.core.admission.AdmissionController;
import io.hemlockbend.core.admission.AdmissionDecision;
import io.hemlockbend.core.admission.AdmissionGate;
import io.hemlockbend.core.admission.AdmissionRequest;
import io.hemlockbend.core.admission.AdmissionSettings;
import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.quarantine.Standing;
import java.lang.management.ManagementFactory;

/** Measures the time and the allocated bytes of one admission with its release. */
public final class AdmissionBench {
  private static final int SLOTS = 12;
  private static final int ROUNDS = 2_000_000;
  private static final int WARM_UP_ROUNDS = 500_000;
  private static final long SERVICE_MILLIS = 50;
  private static final long FAR_MILLIS = Long.MAX_VALUE / 2;

  private final AdmissionController admission =
      new AdmissionController(
          AdmissionSettings.of(SLOTS), AdmissionGate.open(Mesh.VERSION), new StartId("s1"), 0);
  private final AdmissionRequest request =
      new AdmissionRequest(
          new RequestId("r1"),
          Mesh.ROUTE,
          Mesh.VERSION,
          Priority.NORMAL,
          FAR_MILLIS,
          Standing.CLEAR);

  private AdmissionBench() {}

  /**
   * Prints nanoseconds and allocated bytes per admission.
   *
   * @param args ignored
   */
  public static void main(String[] args) {
    AdmissionBench bench = new AdmissionBench();
    bench.run(0, WARM_UP_ROUNDS);
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long startBytes = threads.getCurrentThreadAllocatedBytes();
    long startNanos = System.nanoTime();
    bench.run(WARM_UP_ROUNDS, ROUNDS);
    long elapsedNanos = System.nanoTime() - startNanos;
    long allocatedBytes = threads.getCurrentThreadAllocatedBytes() - startBytes;
    System.out.printf(
        "offer and release: %.0f ns, %.0f bytes, limit %d%n",
        (double) elapsedNanos / ROUNDS,
        (double) allocatedBytes / ROUNDS,
        bench.admission.currentLimit());
  }

  private void run(long fromMillis, int rounds) {
    for (int i = 0; i < rounds; i++) {
      long now = fromMillis + i;
      if (admission.offer(request, now) instanceof AdmissionDecision.Admitted(var permit)) {
        admission.release(permit, RunOutcome.ANSWERED, SERVICE_MILLIS, now);
      }
    }
  }
}
