/**
 * Stops a request that crashes upstreams: counts the crashes that each request was in flight at,
 * merges the counts of all nodes and says whether a request runs as usual, alone or not at all.
 */
package io.hemlockbend.core.quarantine;
