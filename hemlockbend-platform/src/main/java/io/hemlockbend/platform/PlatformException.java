package io.hemlockbend.platform;

/** An error of the platform's services; futures of this package fail with nothing else. */
public abstract sealed class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  PlatformException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The call took no effect: it never reached the service, or the service refused it whole. */
  public static final class NotApplied extends PlatformException {
    private static final long serialVersionUID = 1L;

    /**
     * Makes the error.
     *
     * @param message what was tried and what came of it
     * @param cause the error from below, or null
     */
    public NotApplied(String message, Throwable cause) {
      super(message, cause);
    }
  }

  /** The answer was lost: the call may have taken effect, or may yet. */
  public static final class Unknown extends PlatformException {
    private static final long serialVersionUID = 1L;

    /**
     * Makes the error.
     *
     * @param message what was tried and what came of it
     * @param cause the error from below, or null
     */
    public Unknown(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
