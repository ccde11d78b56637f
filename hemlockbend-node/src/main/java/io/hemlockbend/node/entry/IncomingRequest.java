package io.hemlockbend.node.entry;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.node.forward.CallBody;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * A caller's request as the entry received it.
 *
 * @param method the HTTP method
 * @param path the path, without query
 * @param target path and query
 * @param fields the header fields
 * @param body the body
 * @param request the request's id, the caller's own or a new one
 * @param key the idempotency key; empty when the caller set none
 * @param deadlineMillis the deadline of the caller, milliseconds since the epoch
 */
record IncomingRequest(
    String method,
    String path,
    String target,
    HttpFields fields,
    CallBody body,
    RequestId request,
    Optional<IdempotencyKey> key,
    long deadlineMillis) {}
