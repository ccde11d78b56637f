package io.hemlockbend.core.administration;

/** The paths of the administration API. */
public final class AdminPaths {
  /** The common prefix of all paths. */
  public static final String PREFIX = "/v1/";

  /** Stages changes. */
  public static final String STAGE = "/v1/stage";

  /** Compares the staged changes with the configuration in force. */
  public static final String DIFF = "/v1/diff";

  /** Commits the staged changes. */
  public static final String COMMIT = "/v1/commit";

  /** Discards the staged changes. */
  public static final String DISCARD = "/v1/discard";

  /** Moves a service's traffic. */
  public static final String MOVE = "/v1/move";

  /** Takes a failure domain out of use. */
  public static final String WITHDRAW = "/v1/withdraw";

  /** Returns a withdrawn failure domain to use. */
  public static final String RESTORE = "/v1/restore";

  /** Takes a version back. */
  public static final String TAKE_BACK = "/v1/take-back";

  /** Shows the configuration in force and the nodes that hold it. */
  public static final String SHOW = "/v1/show";

  /** Reports the distribution progress of a version. */
  public static final String PROGRESS = "/v1/progress";

  /** Lists accepted versions. */
  public static final String HISTORY = "/v1/history";

  /** Explains why a request was routed or refused. */
  public static final String EXPLAIN = "/v1/explain";

  /** The query parameter of {@link #HISTORY}: the maximum number of versions. */
  public static final String LIMIT = "limit";

  /** The query parameter of {@link #EXPLAIN}: the request's id. */
  public static final String REQUEST = "request";

  /** The query parameter of {@link #PROGRESS}: the version's number. */
  public static final String VERSION = "version";

  private AdminPaths() {}
}
