/** Meters of the node and the HTTP handler that exposes them to Prometheus. */
package io.hemlockbend.node.metrics;
