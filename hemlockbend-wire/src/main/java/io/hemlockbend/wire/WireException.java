package io.hemlockbend.wire;

/** Tells that a frame could not be read or written. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What went wrong. */
  public enum Kind {
    /** The frame is longer than the bound, or empty. */
    FRAME_LENGTH,
    /** The bytes are no control message of a known type. */
    MALFORMED,
    /** The connection ended within a frame. */
    TRUNCATED,
    /** The other end did not send a whole frame in time. */
    TIMEOUT,
    /** The connection failed. */
    CONNECTION
  }

  private final Kind kind;

  /**
   * Makes the error.
   *
   * @param kind what went wrong
   * @param message what was tried and what came of it
   * @param cause the error from below, or null
   */
  public WireException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Returns what went wrong. */
  public Kind kind() {
    return kind;
  }
}
