package io.hemlockbend.node;

/** Reports that the node could not start. */
public final class NodeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what failed
   * @param cause the underlying failure
   */
  public NodeException(String message, Throwable cause) {
    super(message, cause);
  }
}
