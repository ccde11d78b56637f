package io.hemlockbend.node.admission;

import io.hemlockbend.core.admission.AdmissionController;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.quarantine.CrashTracker;

/**
 * The upstream beside this node, as it last announced itself.
 *
 * @param upstream its id
 * @param address where it listens
 * @param slots how many requests it runs at once when warm
 * @param controller decides which requests it runs
 * @param crashes knows which requests it ran when it crashed
 */
record UpstreamLink(
    UpstreamId upstream,
    NodeAddress address,
    int slots,
    AdmissionController controller,
    CrashTracker crashes) {

  /** Returns whether the upstream bears less than when it is warm. */
  boolean cold() {
    return controller.currentLimit() < slots;
  }
}
