package io.hemlockbend.platform;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import io.hemlockbend.platform.PlatformCall.Effect;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * The table service over HTTP. {@code GET /table/row?key=} answers with a row or status 404, {@code
 * GET /table/scan?prefix=&limit=} with a {@link RowPage}, {@code POST /table/transact} takes a
 * transaction and answers with its outcome. Never sends a transaction twice.
 */
public final class HttpTableService implements TableService {
  private static final String JSON_TYPE = "application/json";

  private final HttpClient client;
  private final PlatformSettings settings;
  private final JsonCodec codec = new JsonCodec();

  /**
   * Creates a client of the table service.
   *
   * @param client a started HTTP client, which its owner stops
   * @param settings the address of the platform and the time-out
   */
  public HttpTableService(HttpClient client, PlatformSettings settings) {
    this.client = client;
    this.settings = settings;
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    Request request = request("/table/row").param("key", key.value());
    PlatformCall call = new PlatformCall(request, settings, Effect.READ);
    return call.send(
        response ->
            response.getStatus() == HttpStatus.NOT_FOUND_404
                ? Optional.empty()
                : Optional.of(decode(call, response, Row.class)));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String prefix, int limit) {
    Request request =
        request("/table/scan").param("prefix", prefix).param("limit", Integer.toString(limit));
    PlatformCall call = new PlatformCall(request, settings, Effect.READ);
    return call.send(response -> decode(call, response, RowPage.class).rows());
  }

  @Override
  public CompletableFuture<TransactionOutcome> transact(Transaction transaction) {
    Request request =
        request("/table/transact")
            .method(HttpMethod.POST)
            .body(new BytesRequestContent(JSON_TYPE, codec.encode(transaction)));
    PlatformCall call = new PlatformCall(request, settings, Effect.WRITE);
    return call.send(response -> decode(call, response, TransactionOutcome.class));
  }

  private Request request(String path) {
    return client.newRequest(settings.uri().resolve(path));
  }

  private <T> T decode(PlatformCall call, ContentResponse response, Class<T> type) {
    if (response.getStatus() != HttpStatus.OK_200) {
      throw call.unexpected(response);
    }
    return codec.decode(response.getContent(), type);
  }
}
