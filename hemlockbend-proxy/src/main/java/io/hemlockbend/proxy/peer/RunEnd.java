package io.hemlockbend.proxy.peer;

import io.hemlockbend.proxy.http.HttpReply;

/** The outcome of a request at the node beside its upstream. */
public sealed interface RunEnd {
  /**
   * The complete answer of the upstream was received.
   *
   * @param reply the answer
   * @param serviceMillis how long the upstream took
   */
  record Answered(HttpReply reply, long serviceMillis) implements RunEnd {}

  /**
   * The upstream did not begin to run the request and never will.
   *
   * @param reason why it did not run
   * @param reachedUpstream whether the upstream itself refused it, so that it counts as sent
   */
  record NotRun(String reason, boolean reachedUpstream) implements RunEnd {
    /** Creates the outcome of a request that did not reach the upstream. */
    public NotRun(String reason) {
      this(reason, false);
    }
  }

  /**
   * No complete answer was received; the request may have run.
   *
   * @param reason the failure that was observed
   */
  record Lost(String reason) implements RunEnd {}
}
