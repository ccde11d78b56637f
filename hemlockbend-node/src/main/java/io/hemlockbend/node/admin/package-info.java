/**
 * The administration API: operators' commands over HTTP and JSON.
 *
 * <p>{@link io.hemlockbend.node.admin.AdministrationHandler} reads requests and writes responses;
 * {@link io.hemlockbend.node.admin.AdministrationService} executes the commands. Futures fail only
 * with {@link io.hemlockbend.node.admin.AdministrationException}.
 */
package io.hemlockbend.node.admin;
