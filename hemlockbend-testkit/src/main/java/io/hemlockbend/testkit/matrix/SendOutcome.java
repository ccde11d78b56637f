package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.retry.ReportedOutcome;

/** What a caller receives for one send. */
sealed interface SendOutcome {

  /** An answer, and the number of the request that it belongs to. */
  record Answered(int requestNumber, boolean complete) implements SendOutcome {}

  /** An error, and whether this send has run. */
  record Refused(ReportedOutcome outcome, String reason) implements SendOutcome {}

  /** The connection was closed without an answer. */
  record ConnectionClosed() implements SendOutcome {}
}
