package io.hemlockbend.platform;

/**
 * A failed call of the platform's services; futures of this package fail with no other exception.
 */
public abstract sealed class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  PlatformException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The call had no effect: it did not reach the service, or the service refused it. */
  public static final class NotApplied extends PlatformException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the call and how it failed
     * @param cause the underlying error, or null
     */
    public NotApplied(String message, Throwable cause) {
      super(message, cause);
    }
  }

  /** The answer was lost: the call may have taken effect, or may still do so. */
  public static final class Unknown extends PlatformException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the call and how it failed
     * @param cause the underlying error, or null
     */
    public Unknown(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
