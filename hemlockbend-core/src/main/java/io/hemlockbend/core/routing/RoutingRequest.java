package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.RequestId;

/**
 * What routing needs to know of a request.
 *
 * @param request its id; the same for all resends
 * @param path its path
 * @param exclusions what the choice must keep away from
 */
public record RoutingRequest(RequestId request, String path, Exclusions exclusions) {}
