package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;

/**
 * A request of a caller, which may send it several times.
 *
 * @param number identifies the request in a run
 * @param kind whether it may be repeated
 * @param large whether its answer is streamed
 * @param priority the admission priority
 */
record CallerRequest(int number, Kind kind, boolean large, Priority priority) {

  /** The idempotency of a request. */
  enum Kind {
    /** Idempotent: may run any number of times. */
    SAFE,
    /** May run once; carries an idempotency key. */
    KEYED,
    /** May run once; carries no idempotency key. */
    UNSAFE
  }

  RequestId id() {
    return new RequestId("r" + number);
  }

  IdempotencyKey key() {
    return new IdempotencyKey("k" + number);
  }
}
