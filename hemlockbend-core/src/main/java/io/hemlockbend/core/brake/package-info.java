/**
 * Brakes mark versions that must take no traffic; they take effect without the platform. Any node
 * with enough evidence sets one. Brakes merge by union, and merging never loosens one.
 */
package io.hemlockbend.core.brake;
