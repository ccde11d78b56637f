/**
 * The rollout controller: opens the steps of traffic moves on evidence, takes bad versions back and
 * ends restores. Its decisions become configuration changes under the rollout lease.
 */
package io.hemlockbend.core.rollout;
