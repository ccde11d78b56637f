package io.hemlockbend.testkit.upstream;

import io.hemlockbend.codec.AnnouncementBody;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.core.api.EndpointState;
import java.net.URI;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;

/** Announces an upstream to its node periodically. */
final class Announcer implements AutoCloseable {
  private static final String ANNOUNCE_PATH = "/v1/announce";
  private static final long INTERVAL_MILLIS = 500;
  private static final long TIMEOUT_MILLIS = 1_000;

  private final HttpClient client = new HttpClient();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("announcer").daemon().factory());
  private final JsonCodec codec = new JsonCodec();
  private final URI uri;
  private final UpstreamSettings settings;
  private final int port;
  private volatile EndpointState state = EndpointState.READY;

  Announcer(URI nodeUri, UpstreamSettings settings, int port) {
    this.uri = nodeUri.resolve(ANNOUNCE_PATH);
    this.settings = settings;
    this.port = port;
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client did not start", e);
    }
    timer.scheduleWithFixedDelay(this::announce, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Announces the new state, and returns once the node has answered or the timeout has passed. */
  void announceState(EndpointState newState) {
    state = newState;
    announce();
  }

  private void announce() {
    AnnouncementBody body =
        new AnnouncementBody(
            settings.upstream(),
            settings.start(),
            settings.service(),
            settings.version(),
            state,
            settings.slots(),
            settings.host(),
            port);
    try {
      client
          .POST(uri)
          .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
          .body(new BytesRequestContent("application/json", codec.encode(body)))
          .send();
    } catch (ExecutionException | TimeoutException e) {
      // The node cannot be reached; the next announcement tries again.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client did not stop", e);
    }
  }
}
