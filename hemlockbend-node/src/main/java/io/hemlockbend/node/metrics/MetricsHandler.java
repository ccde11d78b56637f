package io.hemlockbend.node.metrics;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves {@code /metrics} in the Prometheus text format, {@code /health} while the process runs,
 * and {@code /ready} with 200 while the node may serve and 503 otherwise.
 */
public final class MetricsHandler extends Handler.Abstract.NonBlocking {
  private final PrometheusMeterRegistry registry;
  private final BooleanSupplier ready;

  /**
   * Creates the handler.
   *
   * @param registry the meters to expose
   * @param ready whether the node may serve
   */
  public MetricsHandler(PrometheusMeterRegistry registry, BooleanSupplier ready) {
    this.registry = registry;
    this.ready = ready;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    switch (request.getHttpURI().getCanonicalPath()) {
      case "/metrics" -> write(response, HttpStatus.OK_200, registry.scrape(), callback);
      case "/health" -> write(response, HttpStatus.OK_200, "up\n", callback);
      case "/ready" -> writeReadiness(response, callback);
      default -> {
        return false;
      }
    }
    return true;
  }

  private void writeReadiness(Response response, Callback callback) {
    if (ready.getAsBoolean()) {
      write(response, HttpStatus.OK_200, "ready\n", callback);
      return;
    }
    write(response, HttpStatus.SERVICE_UNAVAILABLE_503, "not ready\n", callback);
  }

  private static void write(Response response, int status, String text, Callback callback) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
    response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
  }
}
