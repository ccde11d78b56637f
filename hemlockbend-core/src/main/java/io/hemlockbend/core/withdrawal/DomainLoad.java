package io.hemlockbend.core.withdrawal;

import io.hemlockbend.core.api.FailureDomain;

/**
 * What a service's upstreams in a failure domain bear and get.
 *
 * @param domain the failure domain
 * @param capacity how many calls a second its ready upstreams bear, cold ones at what they bear now
 * @param offered how many calls a second are offered to it
 * @param sharePermille the part of its share that {@link DomainGate} lets it get
 */
public record DomainLoad(
    FailureDomain domain, double capacity, double offered, int sharePermille) {}
