package io.hemlockbend.core.claim;

import io.hemlockbend.core.api.IdempotencyKey;

/** The result of a pending claim. */
public sealed interface ClaimResolution {
  /** Returns the request's key. */
  IdempotencyKey key();

  /**
   * This node holds the claim: run the request now, or report that it was not sent.
   *
   * @param key the request's key
   */
  record Run(IdempotencyKey key) implements ClaimResolution {}

  /**
   * This send has not run and will not.
   *
   * @param key the request's key
   * @param reason the reason
   */
  record NotRun(IdempotencyKey key, ClaimRefusal reason) implements ClaimResolution {}

  /**
   * Another process holds the claim and may have run the request.
   *
   * @param key the request's key
   */
  record MayHaveRun(IdempotencyKey key) implements ClaimResolution {}
}
