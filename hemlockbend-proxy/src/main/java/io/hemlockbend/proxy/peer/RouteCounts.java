package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.RouteName;

/**
 * Request counts of one route on a node's upstream, for the current process of the upstream.
 *
 * @param route the route
 * @param calls how many requests ended
 * @param failures how many of them failed
 * @param errors how many of the failures were answers of the upstream with a server error
 * @param totalMillis the sum of their service times
 */
public record RouteCounts(
    RouteName route, long calls, long failures, long errors, double totalMillis) {}
