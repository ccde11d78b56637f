package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.RouteName;

/**
 * The right to run one request on the upstream; it holds a slot until it is released.
 *
 * @param number identifies it within its controller
 * @param route the request's route
 * @param alone whether nothing else runs meanwhile
 */
public record Permit(long number, RouteName route, boolean alone) {}
