package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.retry.ReportedOutcome;

/** What a caller receives for one send. */
sealed interface SendOutcome {

  /** An answer that the caller takes for complete, and the number of the request it belongs to. */
  record Answered(int requestNumber, boolean complete) implements SendOutcome {}

  /** An error, and whether this send has run. */
  record Refused(ReportedOutcome outcome, String reason) implements SendOutcome {}

  /** The connection was closed without a complete answer. */
  record ConnectionClosed() implements SendOutcome {}
}
