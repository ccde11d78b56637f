/** Meters of the node and the listener that Prometheus scrapes. */
package io.hemlockbend.node.metrics;
