/**
 * A seeded model in virtual time that runs the rollout classes of the core with random calls, a
 * modelled table and injected faults, and the bench that compares them with a naive rollout. It
 * models one service and three failure domains, without a network.
 */
package io.hemlockbend.testkit.rollout;
