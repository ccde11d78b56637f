/**
 * The administration API: operators' commands over HTTP and JSON.
 *
 * <p>{@link io.hemlockbend.node.admin.AdministrationHandler} reads requests and writes answers;
 * {@link io.hemlockbend.node.admin.AdministrationService} carries the commands out. Futures fail
 * with {@link io.hemlockbend.node.admin.AdministrationException} alone.
 */
package io.hemlockbend.node.admin;
