package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import java.util.Optional;

/**
 * What routing needs to know of a request.
 *
 * @param request its id; the same for all resends
 * @param path its path
 * @param key its idempotency key, when it has one
 * @param exclusions what the choice must keep away from
 */
public record RoutingRequest(
    RequestId request, String path, Optional<IdempotencyKey> key, Exclusions exclusions) {}
