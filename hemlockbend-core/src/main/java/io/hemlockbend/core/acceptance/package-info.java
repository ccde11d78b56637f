/**
 * Decides what becomes of staged changes: planned, refused, in conflict or accepted.
 *
 * <p>{@link io.hemlockbend.core.acceptance.CommitPlanner} makes the transaction that is the
 * acceptance; {@link io.hemlockbend.core.acceptance.CommitSettlement} drives it to an outcome that
 * is true even when answers of the platform are lost. Both do no input or output themselves. Times
 * are in milliseconds since the epoch.
 */
package io.hemlockbend.core.acceptance;
