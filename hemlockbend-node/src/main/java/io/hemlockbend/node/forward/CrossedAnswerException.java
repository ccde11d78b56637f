package io.hemlockbend.node.forward;

import java.io.IOException;

/** An answer that states the id of another request, such as an earlier one sent again. */
final class CrossedAnswerException extends IOException {
  private static final long serialVersionUID = 1L;

  CrossedAnswerException(String expectedId, String answeredId) {
    super("answer to request " + answeredId + " instead of " + expectedId);
  }
}
