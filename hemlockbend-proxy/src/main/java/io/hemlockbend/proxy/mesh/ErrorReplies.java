package io.hemlockbend.proxy.mesh;

import io.hemlockbend.proxy.http.HttpReply;
import java.util.Locale;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** The error responses that a node itself generates. */
final class ErrorReplies {
  private static final double JITTER = 0.5;
  private static final double MILLIS_PER_SECOND = 1000;

  private ErrorReplies() {}

  /**
   * Creates the response to a request that has not run and never will; the caller may retry.
   *
   * @param reason the reason, sent as body
   * @param afterMillis the minimum Retry-After time; up to 50 % jitter is added to spread retries
   * @param random the source of the jitter
   */
  static HttpReply notRun(String reason, long afterMillis, RandomGenerator random) {
    double seconds = afterMillis * (1 + JITTER * random.nextDouble()) / MILLIS_PER_SECOND;
    String value = String.format(Locale.ROOT, "%.3f", seconds);
    return HttpReply.text(
        HttpStatus.SERVICE_UNAVAILABLE_503, reason, new HttpField(HttpHeader.RETRY_AFTER, value));
  }

  static HttpReply lost(String reason) {
    return HttpReply.text(HttpStatus.BAD_GATEWAY_502, reason);
  }

  static HttpReply timedOut() {
    return HttpReply.text(HttpStatus.GATEWAY_TIMEOUT_504, "no answer in time");
  }

  static HttpReply noRoute() {
    return HttpReply.text(HttpStatus.NOT_FOUND_404, "no route");
  }

  static HttpReply badRequest(String reason) {
    return HttpReply.text(HttpStatus.BAD_REQUEST_400, reason);
  }
}
