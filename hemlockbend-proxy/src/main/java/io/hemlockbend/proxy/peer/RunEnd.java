package io.hemlockbend.proxy.peer;

import io.hemlockbend.proxy.http.HttpReply;

/** How a request ended at the node beside an upstream. */
public sealed interface RunEnd {
  /**
   * The upstream's whole answer came.
   *
   * @param reply the answer
   * @param serviceMillis how long the upstream took
   */
  record Answered(HttpReply reply, long serviceMillis) implements RunEnd {}

  /**
   * The upstream did not begin to run the request and never will.
   *
   * @param reason why
   * @param arrived whether the upstream itself refused it, so that it counts as sent there
   */
  record NotRun(String reason, boolean arrived) implements RunEnd {
    /** Makes the end of a request that did not reach the upstream. */
    public NotRun(String reason) {
      this(reason, false);
    }
  }

  /**
   * No whole answer came, though the request may have run.
   *
   * @param reason what was seen
   */
  record Lost(String reason) implements RunEnd {}
}
