package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.admission.Permit;
import io.hemlockbend.core.admission.Ticket;

/** An attempt at a node, from its arrival until the reply. */
final class Work {

  /** The progress of an attempt at the node. */
  enum Stage {
    WAITING,
    CLAIMING,
    RUNNING,
    ENDED
  }

  final SendAttempt attempt;
  Stage stage = Stage.WAITING;
  Ticket ticket;
  Permit permit;
  long startedMillis;
  boolean answerStarted;
  boolean countedInDrain;

  Work(SendAttempt attempt) {
    this.attempt = attempt;
  }

  Send send() {
    return attempt.send;
  }

  boolean keyed() {
    return attempt.send.request.kind() == CallerRequest.Kind.KEYED;
  }
}
