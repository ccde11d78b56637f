package io.hemlockbend.testkit.upstream;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import java.util.Optional;

/**
 * The body of an answer of the stand-in upstream.
 *
 * @param request the id of the request answered
 * @param service the upstream's service
 * @param version the upstream's version
 * @param upstream the upstream
 * @param runs the number of runs of the request's idempotency key, this one included; 0 without a
 *     key
 */
public record UpstreamAnswer(
    Optional<String> request,
    ServiceName service,
    VersionName version,
    UpstreamId upstream,
    int runs) {}
