package io.hemlockbend.codec.trace;

import java.util.Arrays;
import java.util.Optional;

/** What the mesh says of a call that it did not answer: header {@code Hemlockbend-Outcome}. */
public enum CallOutcome {
  /** No upstream has run the request, nor will. */
  NOT_RUN("not-run"),
  /** An upstream may have run the request, or may yet. */
  MAY_HAVE_RUN("may-have-run");

  private final String headerValue;

  CallOutcome(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Returns the value of the header. */
  public String headerValue() {
    return headerValue;
  }

  /** Returns the outcome of a header's value, or empty for any other value. */
  public static Optional<CallOutcome> ofHeader(String value) {
    return Arrays.stream(values()).filter(each -> each.headerValue.equals(value)).findFirst();
  }
}
