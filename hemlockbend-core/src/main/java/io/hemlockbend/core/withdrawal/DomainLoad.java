package io.hemlockbend.core.withdrawal;

import io.hemlockbend.core.api.FailureDomain;

/**
 * Capacity and offered load of a service's upstreams in one failure domain.
 *
 * @param domain the failure domain
 * @param capacity calls per second that its ready upstreams can handle; cold ones count with their
 *     current capacity
 * @param offered calls per second offered to the domain
 * @param sharePermille the part of its fair share that {@link DomainGate} allows, in thousandths
 */
public record DomainLoad(
    FailureDomain domain, double capacity, double offered, int sharePermille) {}
