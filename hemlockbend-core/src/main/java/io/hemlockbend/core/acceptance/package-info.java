/**
 * Validates and commits configuration changes.
 *
 * <p>{@link io.hemlockbend.core.acceptance.CommitPlanner} plans the transaction that accepts the
 * changes; {@link io.hemlockbend.core.acceptance.CommitStateMachine} drives it to an outcome that
 * is correct even when responses of the platform are lost. Neither does input or output. Times are
 * in milliseconds since the epoch.
 */
package io.hemlockbend.core.acceptance;
