package io.hemlockbend.core.retry;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.claim.ClaimRefusal;

/** How one try of a request ended that brought no whole answer. */
public sealed interface AttemptEnd {

  /**
   * The node beside the upstream refused it before a byte went to the upstream.
   *
   * @param reason why
   */
  record Refused(RefusalReason reason) implements AttemptEnd {}

  /**
   * The node beside the upstream could not claim its key, before a byte went to the upstream.
   *
   * @param reason why
   */
  record NotClaimed(ClaimRefusal reason) implements AttemptEnd {}

  /**
   * The node beside the upstream knows an earlier send under the same key.
   *
   * @param word what is known of the earlier send
   */
  record Duplicate(OutcomeWord word) implements AttemptEnd {}

  /** Another request used the key. */
  record KeyReused() implements AttemptEnd {}

  /** No upstream could be chosen. */
  record NoUpstream() implements AttemptEnd {}

  /** No connection came about; no byte of the request went out. */
  record NotConnected() implements AttemptEnd {}

  /**
   * The connection broke after bytes of the request went out and before an answer began.
   *
   * @param alone whether the request ran alone on its upstream, as a suspect
   */
  record Broken(boolean alone) implements AttemptEnd {}

  /** No answer began in time after bytes of the request went out. */
  record TimedOut() implements AttemptEnd {}

  /** The upstream itself answered that it has too much work; its word is not the node's. */
  record Overloaded() implements AttemptEnd {}

  /**
   * The answer began and ended early.
   *
   * @param forwarded whether the caller got a part of it
   */
  record Truncated(boolean forwarded) implements AttemptEnd {}

  /** Returns whether an upstream may have run the request in this try. */
  default boolean mayHaveRun() {
    return switch (this) {
      case Refused _, NotClaimed _, KeyReused _, NoUpstream _, NotConnected _ -> false;
      case Duplicate(OutcomeWord word) -> word != OutcomeWord.NOT_RUN;
      case Broken _, TimedOut _, Overloaded _, Truncated _ -> true;
    };
  }
}
