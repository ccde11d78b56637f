package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.VersionKey;

/**
 * Result of a call passed to the upstream. A refusal that guarantees that nothing has run is not
 * recorded. A call still running at the latency bound may be recorded once at that point, as slow.
 *
 * @param key the version that ran it
 * @param route the route of the call
 * @param failed whether the upstream failed the call
 * @param serviceMillis the service time of the upstream
 * @param cold whether the upstream was in its cold start when the call was admitted
 */
public record CallOutcome(
    VersionKey key, RouteName route, boolean failed, double serviceMillis, boolean cold) {}
