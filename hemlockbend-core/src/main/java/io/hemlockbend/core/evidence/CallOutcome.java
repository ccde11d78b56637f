package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.VersionKey;

/**
 * How one call that the upstream was given ended. A refusal that says that nothing has run is no
 * outcome and is not counted. A call that is still running when it passes the latency bound may be
 * recorded then, once, as slow.
 *
 * @param key the version that ran it
 * @param route the route that it came by
 * @param failed whether the upstream failed it
 * @param serviceMillis how long the upstream took
 * @param cold whether the upstream was in its cold start when the call was let in
 */
public record CallOutcome(
    VersionKey key, RouteName route, boolean failed, double serviceMillis, boolean cold) {}
