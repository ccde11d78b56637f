package io.hemlockbend.core.claim;

/**
 * Tells two different requests under the same idempotency key apart.
 *
 * @param value a digest of method, path and body
 */
public record RequestFingerprint(String value) {}
