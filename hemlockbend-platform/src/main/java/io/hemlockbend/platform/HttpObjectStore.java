package io.hemlockbend.platform;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.JsonDigester;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.platform.PlatformCall.Effect;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * The object store over HTTP: {@code PUT} and {@code GET /objects/{digest}} with the canonical JSON
 * of a configuration. A put whose outcome is unknown may be repeated, since the name is the digest.
 */
public final class HttpObjectStore implements ObjectStore {
  private static final String OBJECTS_PATH = "/objects/";
  private static final String JSON_TYPE = "application/json";

  private final HttpClient client;
  private final PlatformSettings settings;
  private final JsonCodec codec = new JsonCodec();

  /**
   * Creates a client of the object store.
   *
   * @param client a started HTTP client, which its owner stops
   * @param settings the address of the platform and the time-out
   */
  public HttpObjectStore(HttpClient client, PlatformSettings settings) {
    this.client = client;
    this.settings = settings;
  }

  @Override
  public CompletableFuture<Void> put(Digest digest, Configuration configuration) {
    Request request =
        request(digest)
            .method(HttpMethod.PUT)
            .body(new BytesRequestContent(JSON_TYPE, codec.encode(configuration)));
    PlatformCall call = new PlatformCall(request, settings, Effect.WRITE);
    return call.send(
        response -> {
          if (!HttpStatus.isSuccess(response.getStatus())) {
            throw call.unexpected(response);
          }
          return null;
        });
  }

  @Override
  public CompletableFuture<Optional<Configuration>> fetch(Digest digest) {
    PlatformCall call = new PlatformCall(request(digest), settings, Effect.READ);
    return call.send(response -> read(call, digest, response));
  }

  private Request request(Digest digest) {
    return client.newRequest(settings.uri().resolve(OBJECTS_PATH + digest));
  }

  private Optional<Configuration> read(PlatformCall call, Digest digest, ContentResponse response) {
    if (response.getStatus() == HttpStatus.NOT_FOUND_404) {
      return Optional.empty();
    }
    if (response.getStatus() != HttpStatus.OK_200) {
      throw call.unexpected(response);
    }
    byte[] body = response.getContent();
    Digest actual = JsonDigester.digestOf(body);
    if (!actual.equals(digest)) {
      throw new PlatformException.NotApplied(
          "object " + digest + " is damaged: its body has digest " + actual, null);
    }
    return Optional.of(codec.decode(body, Configuration.class));
  }
}
