package io.hemlockbend.node.forward;

import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.core.retry.ReportedOutcome;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;

/** The result of sending a request over one hop. */
public sealed interface Answer {

  /**
   * An answer that was read completely into memory.
   *
   * @param status the HTTP status
   * @param fields the header fields to forward
   * @param body the body
   */
  record Buffered(int status, HttpFields fields, byte[] body) implements Answer {

    /** Returns whether the upstream answered that it is overloaded (503 or 429). */
    public boolean overloaded() {
      return status == HttpStatus.SERVICE_UNAVAILABLE_503
          || status == HttpStatus.TOO_MANY_REQUESTS_429;
    }
  }

  /**
   * A large answer that is still being received. If reading the rest fails, the caller's connection
   * is aborted.
   *
   * @param status the HTTP status
   * @param fields the header fields to forward
   * @param start the bytes that were read already
   * @param rest the bytes that follow
   */
  record Streamed(int status, HttpFields fields, byte[] start, Content.Source rest)
      implements Answer {}

  /**
   * The attempt ended without a complete answer; the entry decides whether to retry.
   *
   * @param end how the attempt ended
   */
  record Failed(AttemptEnd end) implements Answer {}

  /**
   * An error that a node returns in place of an upstream's answer.
   *
   * @param outcome whether the request ran
   * @param status the HTTP status
   * @param reason the reason token
   */
  record NodeError(ReportedOutcome outcome, int status, String reason) implements Answer {}
}
