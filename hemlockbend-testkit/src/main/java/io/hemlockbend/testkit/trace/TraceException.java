package io.hemlockbend.testkit.trace;

/** Tells that a file is no trace, or where it is garbled. */
public final class TraceException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the error.
   *
   * @param position the line
   * @param reason what is wrong with it
   * @param cause the error from below, or null
   */
  public TraceException(TracePosition position, String reason, Throwable cause) {
    super(position + ": " + reason, cause);
  }
}
