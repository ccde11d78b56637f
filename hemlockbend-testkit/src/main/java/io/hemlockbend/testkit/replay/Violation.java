package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.testkit.trace.TracePosition;

/** A violation of a rule, with the line of the trace that shows it. */
public sealed interface Violation {
  /** Returns the line that shows the violation. */
  TracePosition position();

  /** A caller got an answer that looked whole but was damaged or another request's. */
  record WrongAnswer(TracePosition position, RequestId request, AnswerState state)
      implements Violation {}

  /** An answer was cut off or missing without a stated crash. */
  record CutRequest(TracePosition position, RequestId request, AnswerState state)
      implements Violation {}

  /** An idempotency key ran more than once. */
  record RepeatedRun(TracePosition position, IdempotencyKey key, TracePosition first)
      implements Violation {}

  /** A request was refused as not run, but ran before or after the refusal. */
  record FalseNotRun(TracePosition position, RequestId request, TracePosition run)
      implements Violation {}

  /** A request started to run in a withdrawn failure domain after the grace period. */
  record WorkInWithdrawnDomain(
      TracePosition position, FailureDomain domain, UpstreamId upstream, long lateMillis)
      implements Violation {}

  /** A request started to run on a leaving upstream after the grace period. */
  record WorkOnLeavingUpstream(TracePosition position, UpstreamId upstream, long lateMillis)
      implements Violation {}

  /** An upstream got more concurrent requests than its cold start limit. */
  record ColdStartOverloaded(TracePosition position, UpstreamId upstream) implements Violation {}

  /** A node put an older configuration in force. */
  record OlderConfiguration(
      TracePosition position, NodeId node, ConfigurationVersion from, ConfigurationVersion to)
      implements Violation {}

  /** A node put a configuration in force too late or never; the line is its last applied one. */
  record LateConfiguration(TracePosition position, NodeId node, ConfigurationVersion version)
      implements Violation {}

  /** A bad version got more than its maximum share of runs. */
  record BadShareExceeded(
      TracePosition position, VersionKey version, long runs, long ofRuns, int maxPermille)
      implements Violation {}

  /** A bad version got a request at or after the time from which it may get no traffic. */
  record BadVersionUsed(TracePosition position, VersionKey version, long lateMillis)
      implements Violation {}
}
