package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.RouteName;

/**
 * Request counts of one route on a node's upstream, for the current process of the upstream.
 *
 * @param route the route
 * @param calls how many requests ended
 * @param failures how many of them failed
 * @param totalMillis the sum of their service times
 */
public record RouteCounts(RouteName route, long calls, long failures, double totalMillis) {}
