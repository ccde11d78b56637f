package io.hemlockbend.core.retry;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.claim.ClaimRefusal;

/** How an attempt without a complete answer ended. */
public sealed interface AttemptEnd {

  /**
   * The node beside the upstream refused the request before sending any byte to the upstream.
   *
   * @param reason why it was refused
   */
  record Refused(RefusalReason reason) implements AttemptEnd {}

  /**
   * The node beside the upstream could not claim the idempotency key; no byte went to the upstream.
   *
   * @param reason why it failed
   */
  record NotClaimed(ClaimRefusal reason) implements AttemptEnd {}

  /**
   * The node beside the upstream has a record of an earlier send under the same key.
   *
   * @param outcome the outcome of the earlier send
   */
  record Duplicate(ReportedOutcome outcome) implements AttemptEnd {}

  /** The key was used for a different request. */
  record KeyReused() implements AttemptEnd {}

  /** No upstream was eligible. */
  record NoUpstream() implements AttemptEnd {}

  /** No connection could be opened; no byte of the request was sent. */
  record NotConnected() implements AttemptEnd {}

  /**
   * The connection broke after bytes of the request were sent and before the answer began.
   *
   * @param alone whether the request ran alone on its upstream, as a suspect
   */
  record Broken(boolean alone) implements AttemptEnd {}

  /** Bytes of the request were sent, and the answer did not begin in time. */
  record TimedOut() implements AttemptEnd {}

  /** The upstream itself, not its node, answered that it is overloaded. */
  record Overloaded() implements AttemptEnd {}

  /**
   * The answer began but was truncated.
   *
   * @param forwarded whether a part of it was sent to the caller
   */
  record Truncated(boolean forwarded) implements AttemptEnd {}

  /** Returns whether an upstream may have run the request in this attempt. */
  default boolean mayHaveRun() {
    return switch (this) {
      case Refused _, NotClaimed _, KeyReused _, NoUpstream _, NotConnected _ -> false;
      case Duplicate(ReportedOutcome outcome) -> outcome != ReportedOutcome.NOT_RUN;
      case Broken _, TimedOut _, Overloaded _, Truncated _ -> true;
    };
  }
}
