package io.hemlockbend.core.model;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;

/**
 * Sends the requests under a path to a service.
 *
 * @param name the route's name
 * @param pathPrefix the path that its requests start with; begins with a slash
 * @param service the service that answers
 * @param priority how urgent its requests are
 */
public record Route(RouteName name, String pathPrefix, ServiceName service, Priority priority) {}
