package io.hemlockbend.node.forward;

import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.core.retry.OutcomeWord;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;

/** What came of a request over one hop. */
public sealed interface Answer {

  /**
   * An answer held whole.
   *
   * @param status the HTTP status
   * @param fields the header fields that pass through
   * @param body the body
   */
  record Whole(int status, HttpFields fields, byte[] body) implements Answer {

    /** Returns whether the upstream says that it has too much work. */
    public boolean overloaded() {
      return status == HttpStatus.SERVICE_UNAVAILABLE_503
          || status == HttpStatus.TOO_MANY_REQUESTS_429;
    }
  }

  /**
   * A large answer whose rest is still to come; when it fails the caller's connection is aborted.
   *
   * @param status the HTTP status
   * @param fields the header fields that pass through
   * @param start what was read already
   * @param rest the rest
   */
  record Streamed(int status, HttpFields fields, byte[] start, Content.Source rest)
      implements Answer {}

  /**
   * The try brought no whole answer; the entry decides what follows.
   *
   * @param end how the try ended
   */
  record Ended(AttemptEnd end) implements Answer {}

  /**
   * What the caller is told in place of an answer.
   *
   * @param word whether the request ran
   * @param status the HTTP status
   * @param reason why
   */
  record Told(OutcomeWord word, int status, String reason) implements Answer {}
}
