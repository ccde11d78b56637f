/**
 * Ensures that a non-idempotent request runs at most once: a row in the platform's table claims its
 * idempotency key before its first byte is sent to an upstream, and is never revoked. Times are in
 * milliseconds since the epoch.
 */
package io.hemlockbend.core.claim;
