package io.hemlockbend.core.retry;

/** Names of the headers, and the status codes, by which nodes tell what became of a request. */
public final class ResponseHeaders {
  /** Carries an {@link OutcomeWord}; an answer without it comes from the upstream. */
  public static final String OUTCOME = "Hemlockbend-Outcome";

  /** Carries why the request was refused, such as a word of a refusal reason. */
  public static final String REASON = "Hemlockbend-Reason";

  /** Is {@code true} between nodes on a request that must run alone, or whose run alone broke. */
  public static final String SUSPECT = "Hemlockbend-Suspect";

  /** Is {@code true} on an answer that was kept from an earlier send under the same key. */
  public static final String REPLAYED = "Hemlockbend-Replayed";

  /** The status of a request that has not run. */
  public static final int NOT_RUN_STATUS = 503;

  /** The status of a request whose connection broke after bytes went out. */
  public static final int BROKEN_STATUS = 502;

  /** The status of a request that was not answered in time after bytes went out. */
  public static final int TIMED_OUT_STATUS = 504;

  /** The status of a resend whose first send runs, has run or may have run. */
  public static final int DUPLICATE_STATUS = 409;

  /** The status of a request under a key that another request used. */
  public static final int KEY_REUSED_STATUS = 422;

  private ResponseHeaders() {}
}
