/**
 * Runs a request that may not be repeated at most once: a row in the platform's table claims its
 * idempotency key before its first byte goes to an upstream, and is never taken back. Times are
 * milliseconds since the epoch.
 */
package io.hemlockbend.core.claim;
