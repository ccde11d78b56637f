package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.UpstreamId;
import java.util.Set;

/** What the checkers see of a run. */
sealed interface TraceEvent {
  /** Returns when it happened. */
  long atMillis();

  /** A caller sent a request, to be answered until the deadline. */
  record Sent(long atMillis, CallerRequest request, int send, long deadlineMillis)
      implements TraceEvent {}

  /** An upstream began to run a send; with it so many run, and so many it bears. */
  record Ran(
      long atMillis,
      long admittedMillis,
      CallerRequest request,
      int send,
      UpstreamId upstream,
      int running,
      int bears)
      implements TraceEvent {}

  /** A caller was told what became of a send. */
  record Told(long atMillis, CallerRequest request, int send, Tell tell) implements TraceEvent {}

  /** A request crashed an upstream that ran these requests. */
  record Crashed(long atMillis, CallerRequest request, int send, Set<Integer> running)
      implements TraceEvent {}

  /** An upstream's drain or the withdrawal of its failure domain began. */
  record Closed(long atMillis, UpstreamId upstream) implements TraceEvent {}

  /** A drain was over and cut so many requests. */
  record DrainDone(long atMillis, int cut) implements TraceEvent {}
}
