package io.hemlockbend.core.traffic;

import io.hemlockbend.core.api.ServiceName;

/**
 * Settings that all upstreams of a service share.
 *
 * @param name the name of the service
 * @param healthPath the path of its health check
 * @param maxConnections maximum number of connections that an upstream accepts in total
 * @param coldMillis how long an upstream stays cold after its start
 * @param coldPerSecond requests per second that a cold upstream sustains
 */
public record TrafficService(
    ServiceName name,
    String healthPath,
    int maxConnections,
    long coldMillis,
    double coldPerSecond) {}
