package io.hemlockbend.core.administration;

/** The paths of the administration API. */
public final class AdminPaths {
  /** What all paths start with. */
  public static final String PREFIX = "/v1/";

  /** Stages changes. */
  public static final String STAGE = "/v1/stage";

  /** Compares what is staged with what is in force. */
  public static final String DIFF = "/v1/diff";

  /** Commits what is staged. */
  public static final String COMMIT = "/v1/commit";

  /** Forgets what is staged. */
  public static final String DISCARD = "/v1/discard";

  /** Moves a service's traffic. */
  public static final String MOVE = "/v1/move";

  /** Takes a failure domain out. */
  public static final String WITHDRAW = "/v1/withdraw";

  /** Brings a failure domain back. */
  public static final String RESTORE = "/v1/restore";

  /** Takes a version back. */
  public static final String TAKE_BACK = "/v1/take-back";

  /** Shows what is in force, and where. */
  public static final String SHOW = "/v1/show";

  /** Tells how far a version has come. */
  public static final String PROGRESS = "/v1/progress";

  /** Lists accepted versions. */
  public static final String HISTORY = "/v1/history";

  /** Tells why a request was routed or refused. */
  public static final String EXPLAIN = "/v1/explain";

  /** The query parameter of {@link #HISTORY}: how many versions. */
  public static final String LIMIT = "limit";

  /** The query parameter of {@link #EXPLAIN}: the request's id. */
  public static final String REQUEST = "request";

  /** The query parameter of {@link #PROGRESS}: the version's number. */
  public static final String VERSION = "version";

  private AdminPaths() {}
}
