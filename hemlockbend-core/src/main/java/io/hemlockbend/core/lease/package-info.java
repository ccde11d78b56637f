/**
 * The rollout controller's lease: one row of the table, acquired, renewed and released by
 * conditional transactions. The holder adds {@link io.hemlockbend.core.lease.HeldLease#condition()}
 * to each of its transactions, so that any later write of a replaced holder fails.
 */
package io.hemlockbend.core.lease;
