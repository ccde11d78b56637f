/**
 * Drives the control state on a single thread: membership, distribution, brakes, the local upstream
 * and the rollout controller. Publishes the routing table and admission gate for traffic threads.
 */
package io.hemlockbend.node.control;
