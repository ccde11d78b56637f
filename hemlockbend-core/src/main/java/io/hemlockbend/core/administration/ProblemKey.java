package io.hemlockbend.core.administration;

/** The reason why a command failed or has an unknown outcome. */
public enum ProblemKey {
  /** The request's body, query or id is malformed. */
  MALFORMED(400),
  /** The request has no valid token. */
  UNAUTHENTICATED(401),
  /** The token does not permit the command. */
  FORBIDDEN(403),
  /** The path does not exist. */
  NOT_FOUND(404),
  /** The path does not support the method. */
  METHOD_NOT_ALLOWED(405),
  /** The body was not received in time. */
  TIMEOUT(408),
  /** The changes conflict with changes made in the meantime. */
  CONFLICT(409),
  /** The body is too large. */
  TOO_LARGE(413),
  /** The changes are not valid. */
  REFUSED(422),
  /** The node had an internal error; whether the command took effect is unknown. */
  INTERNAL(500),
  /** The platform cannot be reached; the command had no effect. */
  PLATFORM_AWAY(503),
  /** The command may have taken effect, or may still take effect. */
  UNKNOWN(504);

  private final int status;

  ProblemKey(int status) {
    this.status = status;
  }

  /** Returns the HTTP status code of the response. */
  public int status() {
    return status;
  }
}
