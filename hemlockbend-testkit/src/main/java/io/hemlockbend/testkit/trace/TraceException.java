package io.hemlockbend.testkit.trace;

/** Thrown when a file is not a trace, or has a malformed line. */
public final class TraceException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param position the malformed line
   * @param reason what is wrong with it
   * @param cause the underlying error, or null
   */
  public TraceException(TracePosition position, String reason, Throwable cause) {
    super(position + ": " + reason, cause);
  }
}
