/**
 * The rollout controller's lease: one row of the table, taken, renewed and given up by conditional
 * transactions. Whoever holds it puts {@link io.hemlockbend.core.lease.HeldLease#condition()} into
 * each of its transactions, so that the write of a holder that was replaced fails, however late it
 * comes.
 */
package io.hemlockbend.core.lease;
