package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.RouteName;

/**
 * Permit to run one request on the upstream; it takes a slot until it is released.
 *
 * @param number identifies it within its controller
 * @param route the request's route
 * @param alone whether no other request may run at the same time
 */
public record Permit(long number, RouteName route, boolean alone) {}
