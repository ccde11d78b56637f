package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import java.util.Set;

/**
 * What routing needs to know of a request.
 *
 * @param request its id; the same for all resends
 * @param path its path
 * @param tried upstreams that refused it already
 */
public record RoutingRequest(RequestId request, String path, Set<UpstreamId> tried) {}
