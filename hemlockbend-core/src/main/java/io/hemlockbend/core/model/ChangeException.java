package io.hemlockbend.core.model;

/** Thrown when a change cannot be applied to a configuration. */
public final class ChangeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message why the change cannot be applied, with the names concerned
   */
  public ChangeException(String message) {
    super(message);
  }
}
