package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.VersionKey;

/**
 * Whether an upstream accepts new work, and with which share of its slots; set by the control
 * thread.
 *
 * @param state the state that the upstream reports
 * @param version the version that it runs
 * @param withdrawn whether its failure domain accepts no new work
 * @param braked whether its version accepts no traffic
 * @param restoreShare the share of the slots in use while its failure domain is being restored,
 *     above 0 up to 1
 */
public record AdmissionGate(
    EndpointState state,
    VersionKey version,
    boolean withdrawn,
    boolean braked,
    double restoreShare) {

  /**
   * Validates the share.
   *
   * @throws IllegalArgumentException if the share is not in (0, 1]
   */
  public AdmissionGate {
    if (!(restoreShare > 0 && restoreShare <= 1)) {
      throw new IllegalArgumentException("restore share must be in (0, 1], got " + restoreShare);
    }
  }

  /** Returns the gate of a ready upstream that may use all its slots. */
  public static AdmissionGate open(VersionKey version) {
    return new AdmissionGate(EndpointState.READY, version, false, false, 1);
  }

  /** Returns whether the upstream accepts new work. */
  public boolean acceptsWork() {
    return state == EndpointState.READY && !withdrawn && !braked;
  }

  /** Returns why the upstream accepts no new work; only valid if it accepts none. */
  RefusalReason closedReason() {
    if (state == EndpointState.DOWN) {
      return RefusalReason.NOT_READY;
    }
    if (state == EndpointState.DRAINING) {
      return RefusalReason.DRAINING;
    }
    return withdrawn ? RefusalReason.DOMAIN_WITHDRAWN : RefusalReason.VERSION_BRAKED;
  }
}
