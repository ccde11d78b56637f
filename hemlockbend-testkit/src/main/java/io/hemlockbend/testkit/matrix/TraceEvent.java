package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.UpstreamId;
import java.util.Set;

/** An event of a run, as the checks and the bench see it. */
sealed interface TraceEvent {
  /** Returns the virtual time of the event. */
  long atMillis();

  /** A caller sent a request with a deadline. */
  record Sent(long atMillis, CallerRequest request, int send, long deadlineMillis)
      implements TraceEvent {}

  /**
   * An upstream started a run, which {@code running} includes; {@code capacity} is the upstream's
   * capacity at that time.
   */
  record Started(
      long atMillis,
      long admittedMillis,
      CallerRequest request,
      int send,
      UpstreamId upstream,
      int running,
      int capacity)
      implements TraceEvent {}

  /** A caller received the outcome of a send. */
  record Completed(long atMillis, CallerRequest request, int send, SendOutcome outcome)
      implements TraceEvent {}

  /** A request crashed an upstream that ran these requests. */
  record Crashed(long atMillis, CallerRequest request, int send, Set<Integer> running)
      implements TraceEvent {}

  /** An upstream's drain or the withdrawal of its failure domain began. */
  record Closed(long atMillis, UpstreamId upstream) implements TraceEvent {}

  /** A drain ended; {@code aborted} is the number of requests that it aborted. */
  record DrainDone(long atMillis, int aborted) implements TraceEvent {}
}
