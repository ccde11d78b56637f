package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.retry.OutcomeWord;

/** What a caller is told of one send. */
sealed interface Tell {

  /** An answer, taken by the caller as whole. */
  record Answered(int ofRequest, boolean whole) implements Tell {}

  /** No answer, and a word on whether this send ran. */
  record Refused(OutcomeWord word, String reason) implements Tell {}

  /** The connection was cut. */
  record Cut() implements Tell {}
}
