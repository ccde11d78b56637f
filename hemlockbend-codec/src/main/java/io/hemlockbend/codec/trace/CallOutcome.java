package io.hemlockbend.codec.trace;

import java.util.Arrays;
import java.util.Optional;

/**
 * Whether a call that the mesh did not complete may have run: header {@code Hemlockbend-Outcome}.
 */
public enum CallOutcome {
  /** No upstream has run the request or will run it. */
  NOT_RUN("not-run"),
  /** An upstream may have run the request, or may still run it. */
  MAY_HAVE_RUN("may-have-run");

  private final String headerValue;

  CallOutcome(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Returns the value of the header. */
  public String headerValue() {
    return headerValue;
  }

  /** Returns the outcome with a header value, or empty for an unknown value. */
  public static Optional<CallOutcome> ofHeader(String value) {
    return Arrays.stream(values()).filter(each -> each.headerValue.equals(value)).findFirst();
  }
}
