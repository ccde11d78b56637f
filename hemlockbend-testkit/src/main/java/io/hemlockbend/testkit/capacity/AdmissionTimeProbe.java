package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.admission.AdmissionController;
import io.hemlockbend.core.admission.AdmissionDecision;
import io.hemlockbend.core.admission.AdmissionGate;
import io.hemlockbend.core.admission.AdmissionRequest;
import io.hemlockbend.core.admission.AdmissionSettings;
import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.quarantine.Standing;
import java.util.List;

/** Measures the time to admit and release a request. */
final class AdmissionTimeProbe implements Probe {
  private static final long DEADLINE_MILLIS = 10_000;

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "admission", "request let in and released", "slots", "ns", List.of(4, 8, 16, 32, 64), 12);
  }

  @Override
  public double measure(int size) {
    AdmissionController controller =
        new AdmissionController(
            AdmissionSettings.of(size),
            AdmissionGate.open(Fleet.key(1, 1)),
            new StartId("start"),
            0);
    AdmissionRequest request =
        new AdmissionRequest(
            new RequestId("request-1"),
            new RouteName("route-1"),
            Fleet.key(1, 1),
            Priority.NORMAL,
            DEADLINE_MILLIS,
            Standing.CLEAR);
    return Timing.nanos(() -> runOne(controller, request));
  }

  private static void runOne(AdmissionController controller, AdmissionRequest request) {
    AdmissionDecision decision = controller.offer(request, 1);
    if (!(decision instanceof AdmissionDecision.Admitted admitted)) {
      throw new IllegalStateException("not admitted: " + decision);
    }
    controller.release(admitted.permit(), RunOutcome.ANSWERED, 1, 1);
  }
}
