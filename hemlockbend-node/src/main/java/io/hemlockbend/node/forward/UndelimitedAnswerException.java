package io.hemlockbend.node.forward;

import java.io.IOException;

/** Tells that an answer ends with its connection, so that a cut one would look whole. */
final class UndelimitedAnswerException extends IOException {
  private static final long serialVersionUID = 1L;

  UndelimitedAnswerException() {
    super("answer has neither Content-Length nor Transfer-Encoding");
  }
}
