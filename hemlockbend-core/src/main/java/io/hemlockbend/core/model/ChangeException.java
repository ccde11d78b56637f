package io.hemlockbend.core.model;

/** Tells that a change does not fit the configuration that it was to change. */
public final class ChangeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the error.
   *
   * @param message what does not fit, with the names concerned
   */
  public ChangeException(String message) {
    super(message);
  }
}
