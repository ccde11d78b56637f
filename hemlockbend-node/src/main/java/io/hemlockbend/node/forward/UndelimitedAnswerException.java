package io.hemlockbend.node.forward;

import java.io.IOException;

/** Thrown for an answer delimited only by the connection end: a truncated one looks complete. */
final class UndelimitedAnswerException extends IOException {
  private static final long serialVersionUID = 1L;

  UndelimitedAnswerException() {
    super("answer has neither Content-Length nor Transfer-Encoding");
  }
}
