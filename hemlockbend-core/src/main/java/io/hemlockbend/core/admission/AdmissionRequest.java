package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.quarantine.Standing;

/**
 * A request that asks to run on the upstream.
 *
 * @param id the request
 * @param route the route that it came by; service times are kept by route
 * @param version the version that the entry chose for it
 * @param priority how urgent it is
 * @param deadlineMillis when its caller stops waiting, milliseconds since the epoch
 * @param standing whether it is suspected of crashing upstreams
 */
public record AdmissionRequest(
    RequestId id,
    RouteName route,
    VersionKey version,
    Priority priority,
    long deadlineMillis,
    Standing standing) {

  /** Returns whether it runs only while nothing else does. */
  boolean alone() {
    return standing == Standing.SUSPECT;
  }
}
