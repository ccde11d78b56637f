package io.hemlockbend.codec.trace;

/** The kinds of calls that a caller makes. */
public enum CallKind {
  /** A safe read, which may be repeated. */
  GET,
  /** A write under an idempotency key, which may not run twice. */
  POST,
  /** A large safe read whose answer streams. */
  PHOTO
}
