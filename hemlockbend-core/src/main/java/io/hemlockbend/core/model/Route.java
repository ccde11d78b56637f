package io.hemlockbend.core.model;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;

/**
 * Routes the requests under a path prefix to a service.
 *
 * @param name the route's name
 * @param pathPrefix the prefix of the request paths; begins with a slash
 * @param service the service that handles the requests
 * @param priority the priority of the requests
 */
public record Route(RouteName name, String pathPrefix, ServiceName service, Priority priority) {}
