/**
 * Drives the control state by one thread: membership, distribution, brakes, the local upstream and
 * the rollout controller; publishes what traffic threads read.
 */
package io.hemlockbend.node.control;
