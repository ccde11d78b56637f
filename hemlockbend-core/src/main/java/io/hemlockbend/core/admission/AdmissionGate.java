package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.VersionKey;

/**
 * What the control thread knows of the upstream: whether it takes work at all, and what part.
 *
 * @param state what the upstream says of itself
 * @param version the version that it answers for
 * @param withdrawn whether its failure domain takes no new work
 * @param braked whether its version takes no traffic
 * @param restoreShare the part of the slots in use while its failure domain is restored, above 0 up
 *     to 1
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
   * @throws IllegalArgumentException when the share is not above 0 up to 1
   */
  public AdmissionGate {
    if (!(restoreShare > 0 && restoreShare <= 1)) {
      throw new IllegalArgumentException("restore share must be in (0, 1], got " + restoreShare);
    }
  }

  /** Returns the gate of an upstream in full use. */
  public static AdmissionGate open(VersionKey version) {
    return new AdmissionGate(EndpointState.READY, version, false, false, 1);
  }

  /** Returns whether the upstream takes new work. */
  public boolean takesWork() {
    return state == EndpointState.READY && !withdrawn && !braked;
  }

  /** Returns why the upstream takes no new work; only for a gate that takes none. */
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
