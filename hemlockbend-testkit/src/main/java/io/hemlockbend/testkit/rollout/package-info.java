/**
 * A small seeded model in virtual time that drives the real rollout classes of the core with drawn
 * calls, a stand-in of the table and faults, and the bench that measures them against a naive
 * rollout. It models one service, three failure domains and no network.
 */
package io.hemlockbend.testkit.rollout;
