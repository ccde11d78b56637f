package io.hemlockbend.core.retry;

/**
 * Outcome that a node reports for a request without an answer from an upstream. It applies to this
 * send only; earlier sends under the same idempotency key have outcomes of their own.
 */
public enum ReportedOutcome {
  /** No byte of this send went to an upstream. */
  NOT_RUN("not-run"),
  /** An upstream may have run the request, partly or completely. */
  MAY_HAVE_RUN("may-have-run"),
  /** The request is running for an earlier send under the same key. */
  IN_PROGRESS("in-progress"),
  /** The request has run for an earlier send under the same key; the answer is not stored. */
  HAS_RUN("has-run");

  private final String outcomeToken;

  ReportedOutcome(String outcomeToken) {
    this.outcomeToken = outcomeToken;
  }

  /** Returns the value of the outcome header. */
  public String outcomeToken() {
    return outcomeToken;
  }
}
