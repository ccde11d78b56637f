package io.hemlockbend.core.traffic;

import io.hemlockbend.core.api.ServiceName;

/**
 * What is known of all upstreams of a service.
 *
 * @param name the service
 * @param healthPath the path of its health check
 * @param maxConnections how many connections an upstream accepts from all callers
 * @param coldMillis how long an upstream stays cold after its start
 * @param coldPerSecond how many requests a second a cold upstream bears
 */
public record TrafficService(
    ServiceName name,
    String healthPath,
    int maxConnections,
    long coldMillis,
    double coldPerSecond) {}
