/**
 * The rollout controller: opens the steps of traffic moves based on evidence, takes bad versions
 * back and ends restores. Its decisions are committed as configuration changes under the rollout
 * lease.
 */
package io.hemlockbend.core.rollout;
