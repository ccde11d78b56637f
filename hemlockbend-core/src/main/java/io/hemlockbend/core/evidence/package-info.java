/**
 * Evidence on upstream versions: counted at the nodes beside the upstreams, collected at the
 * candidates for the rollout lease, and judged by comparing a version with its predecessor on the
 * same route, in the same failure domain and over the same time.
 */
package io.hemlockbend.core.evidence;
