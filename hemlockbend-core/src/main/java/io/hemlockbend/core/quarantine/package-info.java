/**
 * Quarantine of requests that crash upstreams: counts the crashes during which each request was in
 * flight, merges the counts of all nodes and decides whether a request runs without restriction,
 * alone or not at all.
 */
package io.hemlockbend.core.quarantine;
