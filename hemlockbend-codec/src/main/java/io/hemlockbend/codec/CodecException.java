package io.hemlockbend.codec;

/** Tells that bytes are not the form of a value of the type asked for, or a value has no form. */
public final class CodecException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the error.
   *
   * @param message what is wrong, with the property concerned
   */
  public CodecException(String message) {
    super(message);
  }

  /**
   * Makes the error.
   *
   * @param message what is wrong, with the property concerned
   * @param cause the error from below
   */
  public CodecException(String message, Throwable cause) {
    super(message, cause);
  }
}
