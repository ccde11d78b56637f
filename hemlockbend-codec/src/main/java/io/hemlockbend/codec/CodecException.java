package io.hemlockbend.codec;

/** Thrown when a value cannot be encoded, or when bytes do not decode to the requested type. */
public final class CodecException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong, with the property concerned
   */
  public CodecException(String message) {
    super(message);
  }

  /**
   * Creates the exception.
   *
   * @param message what is wrong, with the property concerned
   * @param cause the underlying error
   */
  public CodecException(String message, Throwable cause) {
    super(message, cause);
  }
}
