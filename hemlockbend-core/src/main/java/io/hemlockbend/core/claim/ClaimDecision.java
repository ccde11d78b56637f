package io.hemlockbend.core.claim;

import io.hemlockbend.core.api.IdempotencyKey;

/** The decision of the ledger on a request with an idempotency key. */
public sealed interface ClaimDecision {

  /**
   * The request waits for its claim to be written; a {@link ClaimResolution} follows.
   *
   * @param key the request's key
   */
  record RunAfterClaim(IdempotencyKey key) implements ClaimDecision {}

  /**
   * The request has run; its stored response is replayed.
   *
   * @param response the stored response
   */
  record Replay(StoredResponse response) implements ClaimDecision {}

  /** The request has run and its response is not stored. */
  record HasRun() implements ClaimDecision {}

  /** An earlier send of the request is running or waiting for its claim. */
  record InProgress() implements ClaimDecision {}

  /** The request may have run, here or beside another upstream. */
  record MayHaveRun() implements ClaimDecision {}

  /** The key was used for a different request; this one has not run. */
  record KeyReused() implements ClaimDecision {}

  /**
   * No claim can be made at present; this send has not run.
   *
   * @param reason the reason
   */
  record Unavailable(ClaimRefusal reason) implements ClaimDecision {}
}
