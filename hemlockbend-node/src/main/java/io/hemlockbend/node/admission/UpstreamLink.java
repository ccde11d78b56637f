package io.hemlockbend.node.admission;

import io.hemlockbend.core.admission.AdmissionController;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.quarantine.CrashTracker;

/**
 * The upstream beside this node, as last announced, with its admission state.
 *
 * @param upstream its id
 * @param address where it listens
 * @param slots its concurrency limit when warm
 * @param controller decides which requests it runs
 * @param crashes tracks the requests in flight, which become suspects in a crash
 */
record UpstreamLink(
    UpstreamId upstream,
    NodeAddress address,
    int slots,
    AdmissionController controller,
    CrashTracker crashes) {

  /** Returns whether the current limit is below that of a warm upstream. */
  boolean cold() {
    return controller.currentLimit() < slots;
  }
}
