package io.hemlockbend.proxy.mesh;

import io.hemlockbend.proxy.http.HttpReply;
import java.util.Locale;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** The answers that a node gives of its own. */
final class Refusals {
  private static final double SPREAD = 0.5;
  private static final double MILLIS_PER_SECOND = 1000;

  private Refusals() {}

  /**
   * The request has not run and never will; the caller may come back.
   *
   * @param reason why
   * @param afterMillis after how long it may come back; spread out, so that not all come at once
   * @param random where the spread comes from
   */
  static HttpReply notRun(String reason, long afterMillis, RandomGenerator random) {
    double seconds = afterMillis * (1 + SPREAD * random.nextDouble()) / MILLIS_PER_SECOND;
    String value = String.format(Locale.ROOT, "%.3f", seconds);
    return HttpReply.text(
        HttpStatus.SERVICE_UNAVAILABLE_503, reason, new HttpField(HttpHeader.RETRY_AFTER, value));
  }

  static HttpReply lost(String reason) {
    return HttpReply.text(HttpStatus.BAD_GATEWAY_502, reason);
  }

  static HttpReply late() {
    return HttpReply.text(HttpStatus.GATEWAY_TIMEOUT_504, "no answer in time");
  }

  static HttpReply noRoute() {
    return HttpReply.text(HttpStatus.NOT_FOUND_404, "no route");
  }

  static HttpReply badRequest(String reason) {
    return HttpReply.text(HttpStatus.BAD_REQUEST_400, reason);
  }
}
