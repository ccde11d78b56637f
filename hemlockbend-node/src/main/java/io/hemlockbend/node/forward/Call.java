package io.hemlockbend.node.forward;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request that was routed to an upstream.
 *
 * @param method the HTTP method
 * @param target path and query
 * @param fields the caller's header fields
 * @param body the body
 * @param request the request's id
 * @param key its idempotency key; empty when the caller set none
 * @param route the route that matched
 * @param version the version that was chosen
 * @param upstream the upstream that was chosen
 * @param priority how urgent it is
 * @param deadlineMillis the deadline of the caller, milliseconds since the epoch
 * @param suspect whether an earlier attempt may have crashed its upstream, so that it must run
 *     alone
 */
public record Call(
    String method,
    String target,
    HttpFields fields,
    CallBody body,
    RequestId request,
    Optional<IdempotencyKey> key,
    RouteName route,
    VersionKey version,
    UpstreamId upstream,
    Priority priority,
    long deadlineMillis,
    boolean suspect) {

  /** Returns whether the method is safe, so that the request may be repeated (RFC 9110, 9.2.1). */
  public boolean safe() {
    return switch (method) {
      case "GET", "HEAD", "OPTIONS", "TRACE" -> true;
      default -> false;
    };
  }

  /** Returns whether the body can be sent a second time. */
  public boolean repeatableBody() {
    return body instanceof CallBody.Buffered;
  }

  /** Returns a copy with another body. */
  public Call withBody(CallBody other) {
    return new Call(
        method,
        target,
        fields,
        other,
        request,
        key,
        route,
        version,
        upstream,
        priority,
        deadlineMillis,
        suspect);
  }
}
