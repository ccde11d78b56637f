package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.CallKind;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import java.net.URI;
import java.util.Optional;

/**
 * A call to send at a given time.
 *
 * @param dueNanos the time when it is due, since the start of the load
 * @param request its request id
 * @param kind the kind of the call
 * @param entry the URI of the entry that it is sent to
 * @param path the path, without the photo suffix and query
 * @param key the idempotency key of a call that may not run twice, else empty
 * @param photoSeed the seed of the requested photo; unused for other kinds
 */
public record PlannedCall(
    long dueNanos,
    RequestId request,
    CallKind kind,
    URI entry,
    String path,
    Optional<IdempotencyKey> key,
    long photoSeed) {}
