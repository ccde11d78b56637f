package io.hemlockbend.core.retry;

/** Header names and status codes by which nodes report the outcome of a request. */
public final class ResponseHeaders {
  /** Carries the {@link ReportedOutcome}; an answer without it comes from the upstream. */
  public static final String OUTCOME = "Hemlockbend-Outcome";

  /** Carries why the request was refused, such as the token of a refusal reason. */
  public static final String REASON = "Hemlockbend-Reason";

  /** Is {@code true} between nodes if a request must run alone, or broke while it ran alone. */
  public static final String SUSPECT = "Hemlockbend-Suspect";

  /** Is {@code true} on an answer stored from an earlier send under the same key. */
  public static final String REPLAYED = "Hemlockbend-Replayed";

  /** The status of a request that has not run. */
  public static final int NOT_RUN_STATUS = 503;

  /** The status of a request whose connection broke after bytes were sent. */
  public static final int BROKEN_STATUS = 502;

  /** The status of a request that timed out after bytes were sent. */
  public static final int TIMED_OUT_STATUS = 504;

  /** The status of a resend if an earlier send is running, has run or may have run. */
  public static final int DUPLICATE_STATUS = 409;

  /** The status of a request whose key was used for a different request. */
  public static final int KEY_REUSED_STATUS = 422;

  private ResponseHeaders() {}
}
