package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.quarantine.Standing;

/**
 * A request to be admitted to the upstream.
 *
 * @param id the request
 * @param route its route; service times are kept by route
 * @param version the version that the entry chose for it
 * @param priority how urgent it is
 * @param deadlineMillis its deadline, milliseconds since the epoch
 * @param standing whether it is suspected of crashing upstreams
 */
public record AdmissionRequest(
    RequestId id,
    RouteName route,
    VersionKey version,
    Priority priority,
    long deadlineMillis,
    Standing standing) {

  /** Returns whether no other request may run at the same time. */
  boolean alone() {
    return standing == Standing.SUSPECT;
  }
}
