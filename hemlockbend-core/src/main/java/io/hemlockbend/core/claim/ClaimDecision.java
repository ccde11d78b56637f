package io.hemlockbend.core.claim;

import io.hemlockbend.core.api.IdempotencyKey;

/** What becomes of a request with an idempotency key when it comes to the ledger. */
public sealed interface ClaimDecision {

  /**
   * The request waits for its claim; a {@link ClaimResolution} of the key follows.
   *
   * @param key the request's key
   */
  record RunAfterClaim(IdempotencyKey key) implements ClaimDecision {}

  /**
   * The request has run; its answer is given again.
   *
   * @param answer the kept answer
   */
  record Replay(StoredAnswer answer) implements ClaimDecision {}

  /** The request has run and its answer is not kept. */
  record HasRun() implements ClaimDecision {}

  /** The request runs or waits for its claim, for an earlier send. */
  record InProgress() implements ClaimDecision {}

  /** The request may have run, here or beside another upstream. */
  record MayHaveRun() implements ClaimDecision {}

  /** Another request used the key; this one has not run. */
  record KeyReused() implements ClaimDecision {}

  /**
   * No claim can be made now; this send has not run.
   *
   * @param reason why
   */
  record Unavailable(ClaimRefusal reason) implements ClaimDecision {}
}
