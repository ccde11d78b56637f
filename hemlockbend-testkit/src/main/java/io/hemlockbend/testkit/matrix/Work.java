package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.admission.Permit;
import io.hemlockbend.core.admission.Ticket;

/** A try that came to a node, until the node has replied. */
final class Work {

  /** How far the node is with it. */
  enum Stage {
    WAITING,
    CLAIMING,
    RUNNING,
    ENDED
  }

  final Try attempt;
  Stage stage = Stage.WAITING;
  Ticket ticket;
  Permit permit;
  long startedMillis;
  boolean began;
  boolean counted;

  Work(Try attempt) {
    this.attempt = attempt;
  }

  Send send() {
    return attempt.send;
  }

  boolean keyed() {
    return attempt.send.request.kind() == CallerRequest.Kind.KEYED;
  }
}
