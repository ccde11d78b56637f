package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.CallKind;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import java.net.URI;
import java.util.Optional;

/**
 * A call that is due.
 *
 * @param dueNanos when, since the start of the load
 * @param request its id
 * @param kind what is asked
 * @param entry where it is sent
 * @param path the path
 * @param key its idempotency key, when it may not run twice
 * @param photoSeed makes the photo that it asks for
 */
public record PlannedCall(
    long dueNanos,
    RequestId request,
    CallKind kind,
    URI entry,
    String path,
    Optional<IdempotencyKey> key,
    long photoSeed) {}
