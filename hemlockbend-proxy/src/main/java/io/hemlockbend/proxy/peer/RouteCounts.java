package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.RouteName;

/**
 * What a node's upstream did on one route since its record began.
 *
 * @param route the route
 * @param calls how many requests ended
 * @param failures how many of them failed
 * @param totalMillis the sum of their service times
 */
public record RouteCounts(RouteName route, long calls, long failures, double totalMillis) {}
