package io.hemlockbend.testkit.http;

import java.io.IOException;

/** Answers requests; called on a thread of its own for each. */
@FunctionalInterface
public interface Responder {
  /**
   * Answers or aborts one request.
   *
   * @param exchange the request and its answer
   * @throws IOException when the caller has gone
   * @throws InterruptedException when the server stops
   */
  void respond(Exchange exchange) throws IOException, InterruptedException;
}
