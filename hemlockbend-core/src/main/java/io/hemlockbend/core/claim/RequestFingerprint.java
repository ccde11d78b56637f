package io.hemlockbend.core.claim;

/**
 * Distinguishes different requests that use the same idempotency key.
 *
 * @param value a digest of method, path and body
 */
public record RequestFingerprint(String value) {}
