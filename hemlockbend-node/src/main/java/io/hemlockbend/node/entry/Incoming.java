package io.hemlockbend.node.entry;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.node.forward.CallBody;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * A caller's request as the entry took it in.
 *
 * @param method the HTTP method
 * @param path the path, without query
 * @param target path and query
 * @param fields the header fields
 * @param body the body
 * @param request the request's id, the caller's own or a new one
 * @param key the idempotency key, when the caller set one
 * @param deadlineMillis when the caller stops waiting, milliseconds since the epoch
 */
record Incoming(
    String method,
    String path,
    String target,
    HttpFields fields,
    CallBody body,
    RequestId request,
    Optional<IdempotencyKey> key,
    long deadlineMillis) {}
