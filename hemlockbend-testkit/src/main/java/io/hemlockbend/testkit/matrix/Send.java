package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.UpstreamId;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** One send of a request by its caller to an entry, with the state of all its attempts. */
final class Send {
  final int number;
  final CallerRequest request;
  final long deadlineMillis;
  final Set<UpstreamId> excluded = new HashSet<>();
  int attempts;
  int brokenAttempts;
  boolean mayHaveRun;
  boolean alone;
  private final Consumer<SendOutcome> caller;
  private boolean completed;

  Send(int number, CallerRequest request, long deadlineMillis, Consumer<SendOutcome> caller) {
    this.number = number;
    this.request = request;
    this.deadlineMillis = deadlineMillis;
    this.caller = caller;
  }

  boolean safe() {
    return request.kind() == CallerRequest.Kind.SAFE;
  }

  boolean completed() {
    return completed;
  }

  void complete(SendOutcome outcome) {
    if (!completed) {
      completed = true;
      caller.accept(outcome);
    }
  }
}
