/**
 * Evidence on upstream versions: counted beside the upstreams, gathered at the few nodes that may
 * hold the rollout lease, and judged by comparing a version with its predecessor on the same route,
 * in the same failure domain, over the same time.
 */
package io.hemlockbend.core.evidence;
