package io.hemlockbend.wire;

/** Thrown when a frame cannot be read or written, or an address cannot be bound. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The kinds of error. */
  public enum Kind {
    /** The frame is empty or exceeds the maximum length. */
    FRAME_LENGTH,
    /** The message cannot be encoded, or the bytes are not a control message of a known type. */
    MALFORMED,
    /** The connection ended within a frame. */
    TRUNCATED,
    /** The peer did not send a complete frame in time. */
    TIMEOUT,
    /** The connection failed. */
    CONNECTION
  }

  private final Kind kind;

  /**
   * Creates the exception.
   *
   * @param kind the kind of error
   * @param message the operation and how it failed
   * @param cause the underlying error, or null
   */
  public WireException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Returns the kind of error. */
  public Kind kind() {
    return kind;
  }
}
