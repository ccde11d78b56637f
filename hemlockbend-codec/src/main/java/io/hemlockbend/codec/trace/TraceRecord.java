package io.hemlockbend.codec.trace;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import java.util.Optional;

/** One line of a trace after the first. */
public sealed interface TraceRecord {
  /** Returns the time of the event, milliseconds since the epoch. */
  long atMillis();

  /**
   * A call as its caller saw it.
   *
   * @param atMillis its scheduled send time
   * @param endMillis when its answer was complete or its failure detected
   * @param request its id
   * @param kind the kind of call
   * @param path the path
   * @param key the idempotency key of a call that may not run twice
   * @param status the status of the answer, or 0 when there was none
   * @param answer the result of the caller's check of the answer
   * @param outcome the outcome that the mesh reported for a call that it refused
   * @param version the version that answered, when known
   * @param upstream the upstream that answered, when known
   */
  record Call(
      long atMillis,
      long endMillis,
      RequestId request,
      CallKind kind,
      String path,
      Optional<IdempotencyKey> key,
      int status,
      AnswerState answer,
      Optional<CallOutcome> outcome,
      Optional<VersionName> version,
      Optional<UpstreamId> upstream)
      implements TraceRecord {}

  /**
   * A request that an upstream started to run.
   *
   * @param atMillis when
   * @param request the request's id, when it had one
   * @param key its idempotency key, when it had one
   * @param service the upstream's service
   * @param version the upstream's version
   * @param upstream the upstream
   */
  record Run(
      long atMillis,
      Optional<RequestId> request,
      Optional<IdempotencyKey> key,
      ServiceName service,
      VersionName version,
      UpstreamId upstream)
      implements TraceRecord {}

  /**
   * A request beyond an upstream's capacity during its cold start.
   *
   * @param atMillis when
   * @param request the request's id, when it had one
   * @param upstream the upstream
   */
  record ColdOverload(long atMillis, Optional<RequestId> request, UpstreamId upstream)
      implements TraceRecord {}

  /**
   * A decision that a node logged.
   *
   * @param node the node
   * @param decision the decision
   */
  record Decision(NodeId node, DecisionRecord decision) implements TraceRecord {
    @Override
    public long atMillis() {
      return decision.atMillis();
    }
  }

  /**
   * A configuration that came into force on a node.
   *
   * @param atMillis when
   * @param node the node
   * @param version the configuration's version
   */
  record Applied(long atMillis, NodeId node, ConfigurationVersion version) implements TraceRecord {}
}
