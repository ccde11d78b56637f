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

/** A line of a trace that breaks a rule. */
public sealed interface Violation {
  /** Returns the line that shows it. */
  TracePosition position();

  /** A caller took a body for its whole answer that was not. */
  record WrongAnswer(TracePosition position, RequestId request, AnswerState state)
      implements Violation {}

  /** An answer broke off or never came, with no crash to excuse it. */
  record CutRequest(TracePosition position, RequestId request, AnswerState state)
      implements Violation {}

  /** A request that may not be repeated ran again. */
  record RepeatedRun(TracePosition position, IdempotencyKey key, TracePosition first)
      implements Violation {}

  /** A request was refused as not run, and had run or ran later. */
  record FalseNotRun(TracePosition position, RequestId request, TracePosition run)
      implements Violation {}

  /** Work started in a failure domain that was out. */
  record WorkInWithdrawnDomain(
      TracePosition position, FailureDomain domain, UpstreamId upstream, long lateMillis)
      implements Violation {}

  /** Work started on an upstream that was leaving. */
  record WorkOnLeavingUpstream(TracePosition position, UpstreamId upstream, long lateMillis)
      implements Violation {}

  /** A cold upstream got more than it bears. */
  record ColdStartOverloaded(TracePosition position, UpstreamId upstream) implements Violation {}

  /** A node went back to an older configuration. */
  record OlderConfiguration(
      TracePosition position, NodeId node, ConfigurationVersion from, ConfigurationVersion to)
      implements Violation {}

  /** A node had a configuration in force too late, or never; the line is its last one. */
  record LateConfiguration(TracePosition position, NodeId node, ConfigurationVersion version)
      implements Violation {}

  /** A bad version got more than its share. */
  record BadShareExceeded(
      TracePosition position, VersionKey version, long runs, long ofRuns, int maxPermille)
      implements Violation {}

  /** A bad version got traffic after its badness had to have shown. */
  record BadVersionUsed(TracePosition position, VersionKey version, long lateMillis)
      implements Violation {}
}
