/**
 * The requests and responses of the administration API, and the reports and diffs that responses
 * contain.
 *
 * <p>The node and the command-line tool share these types. Times are in milliseconds since the
 * epoch.
 */
package io.hemlockbend.core.administration;
