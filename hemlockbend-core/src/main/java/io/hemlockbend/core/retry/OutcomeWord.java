package io.hemlockbend.core.retry;

/**
 * What a node says of a request that it did not answer. The word is about this send of the request:
 * earlier sends under the same idempotency key have words of their own.
 */
public enum OutcomeWord {
  /** No upstream got any byte of this send. */
  NOT_RUN("not-run"),
  /** An upstream may have run the request in part or whole. */
  MAY_HAVE_RUN("may-have-run"),
  /** The request runs now, for an earlier send under the same key. */
  IN_PROGRESS("in-progress"),
  /** The request has run, for an earlier send under the same key, and its answer is not kept. */
  HAS_RUN("has-run");

  private final String word;

  OutcomeWord(String word) {
    this.word = word;
  }

  /** Returns the word that the outcome header carries. */
  public String word() {
    return word;
  }
}
