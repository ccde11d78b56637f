package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;

/**
 * A request as its caller knows it.
 *
 * @param number identifies it
 * @param kind whether it may be repeated
 * @param large whether its answer is streamed
 * @param priority how urgent it is
 */
record CallerRequest(int number, Kind kind, boolean large, Priority priority) {

  /** Whether a request may be repeated. */
  enum Kind {
    /** May run many times. */
    SAFE,
    /** May run once, and carries a key. */
    KEYED,
    /** May run once, and carries no key. */
    UNSAFE
  }

  RequestId id() {
    return new RequestId("r" + number);
  }

  IdempotencyKey key() {
    return new IdempotencyKey("k" + number);
  }
}
