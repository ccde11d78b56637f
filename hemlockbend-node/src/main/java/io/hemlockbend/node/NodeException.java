package io.hemlockbend.node;

/** Tells that the node could not start. */
public final class NodeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the error.
   *
   * @param message what went wrong
   * @param cause the error from below
   */
  public NodeException(String message, Throwable cause) {
    super(message, cause);
  }
}
