package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import java.util.Optional;

/**
 * The properties of a request that routing depends on.
 *
 * @param request its id; resends have the same id
 * @param path its path
 * @param key its idempotency key, if any
 * @param exclusions what is excluded by earlier attempts
 */
public record RoutingRequest(
    RequestId request, String path, Optional<IdempotencyKey> key, Exclusions exclusions) {}
