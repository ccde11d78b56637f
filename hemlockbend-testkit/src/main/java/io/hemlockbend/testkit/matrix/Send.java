package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.UpstreamId;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** One send of a request by its caller to an entry, over all tries of that entry. */
final class Send {
  final int number;
  final CallerRequest request;
  final long deadlineMillis;
  final Set<UpstreamId> excluded = new HashSet<>();
  int tries;
  int brokenTries;
  boolean mayHaveRun;
  boolean alone;
  private final Consumer<Tell> caller;
  private boolean told;

  Send(int number, CallerRequest request, long deadlineMillis, Consumer<Tell> caller) {
    this.number = number;
    this.request = request;
    this.deadlineMillis = deadlineMillis;
    this.caller = caller;
  }

  boolean safe() {
    return request.kind() == CallerRequest.Kind.SAFE;
  }

  boolean told() {
    return told;
  }

  void tell(Tell tell) {
    if (!told) {
      told = true;
      caller.accept(tell);
    }
  }
}
