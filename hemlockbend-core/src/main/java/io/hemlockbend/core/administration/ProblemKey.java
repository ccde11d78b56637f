package io.hemlockbend.core.administration;

/** Why a command was not done, or may not have been. */
public enum ProblemKey {
  /** The request's body, query or id is malformed. */
  MALFORMED(400),
  /** There is no valid token. */
  UNAUTHENTICATED(401),
  /** The token does not allow this. */
  FORBIDDEN(403),
  /** There is no such path. */
  NOT_FOUND(404),
  /** The path has another method. */
  METHOD_NOT_ALLOWED(405),
  /** The body came too slowly. */
  TIMEOUT(408),
  /** Something else changed in between. */
  CONFLICT(409),
  /** The body is too large. */
  TOO_LARGE(413),
  /** The changes are not valid. */
  REFUSED(422),
  /** The node met an error of its own; whether anything was done is not known. */
  INTERNAL(500),
  /** The platform's services cannot be reached; nothing was done. */
  PLATFORM_AWAY(503),
  /** The command may have been done, or may yet be. */
  UNKNOWN(504);

  private final int status;

  ProblemKey(int status) {
    this.status = status;
  }

  /** Returns the HTTP status that goes with it. */
  public int status() {
    return status;
  }
}
