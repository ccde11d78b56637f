package io.hemlockbend.node.control;

import io.hemlockbend.core.admission.AdmissionGate;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.withdrawal.DomainGate;

/** Derives the admission gate of the upstream beside this node from the control state. */
final class AdmissionGates {

  private AdmissionGates() {}

  static AdmissionGate of(
      EndpointState state, VersionKey key, DomainState domain, boolean braked, long nowMillis) {
    int permille = DomainGate.share(domain, nowMillis);
    boolean withdrawn = permille == 0;
    double share = withdrawn ? 1 : (double) permille / DomainGate.FULL_PERMILLE;
    return new AdmissionGate(state, key, withdrawn, braked, share);
  }
}
