package io.hemlockbend.testkit.http;

import java.io.IOException;

/** Handles requests, each on its own thread. */
@FunctionalInterface
public interface Responder {
  /**
   * Answers or aborts a request.
   *
   * @param exchange the request and its response
   * @throws IOException when the connection is closed or fails
   * @throws InterruptedException when the server stops
   */
  void respond(Exchange exchange) throws IOException, InterruptedException;
}
