/**
 * The requests and answers of the administration API, and what they are computed from.
 *
 * <p>Both the node and the operators' command use these types. Times are in milliseconds since the
 * epoch.
 */
package io.hemlockbend.core.administration;
