package io.hemlockbend.node.entry;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.routing.RoutingRefusal;
import io.hemlockbend.node.forward.Answer;
import io.hemlockbend.node.forward.AnswerWriter;
import io.hemlockbend.node.forward.BodyReader;
import io.hemlockbend.node.forward.CallBody;
import io.hemlockbend.node.forward.ErrorAnswers;
import io.hemlockbend.node.forward.MeshHeaders;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Receives callers' HTTP requests and writes the answers. */
public final class EntryHandler extends Handler.Abstract.NonBlocking {
  private final EntryService service;
  private final Clock clock;
  private final long requestTimeoutMillis;
  private final int bufferBytes;

  /**
   * Creates the handler.
   *
   * @param service serves the requests
   * @param clock the time source
   * @param requestTimeoutMillis time limit of a request without deadline, and upper bound of all
   *     deadlines
   * @param bufferBytes largest body that is buffered, in bytes
   */
  public EntryHandler(
      EntryService service, Clock clock, long requestTimeoutMillis, int bufferBytes) {
    this.service = service;
    this.clock = clock;
    this.requestTimeoutMillis = requestTimeoutMillis;
    this.bufferBytes = bufferBytes;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    answer(request)
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                callback.failed(failure);
                return;
              }
              AnswerWriter.write(answer, response, callback);
            });
    return true;
  }

  private CompletableFuture<Answer> answer(Request request) {
    if (request.getHttpURI().getCanonicalPath() == null) {
      return CompletableFuture.completedFuture(ErrorAnswers.refused(RoutingRefusal.BAD_REQUEST));
    }
    long deadlineMillis;
    RequestId id;
    Optional<IdempotencyKey> key;
    try {
      deadlineMillis = deadline(request.getHeaders());
      id = requestId(request.getHeaders());
      key =
          Optional.ofNullable(fieldValue(request, MeshHeaders.IDEMPOTENCY_KEY))
              .map(IdempotencyKey::new);
    } catch (IllegalArgumentException malformed) {
      return CompletableFuture.completedFuture(ErrorAnswers.refused(RoutingRefusal.BAD_REQUEST));
    }
    return BodyReader.read(request, bufferBytes)
        .thenCompose(body -> service.serve(incoming(request, id, key, deadlineMillis, body)));
  }

  private static IncomingRequest incoming(
      Request request,
      RequestId id,
      Optional<IdempotencyKey> key,
      long deadlineMillis,
      CallBody body) {
    return new IncomingRequest(
        request.getMethod(),
        request.getHttpURI().getCanonicalPath(),
        request.getHttpURI().getPathQuery(),
        request.getHeaders(),
        body,
        id,
        key,
        deadlineMillis);
  }

  private long deadline(HttpFields fields) {
    String millis = fields.get(MeshHeaders.DEADLINE_MILLIS);
    long remainingMillis = millis == null ? requestTimeoutMillis : Long.parseLong(millis);
    return clock.millis() + Math.clamp(remainingMillis, 0, requestTimeoutMillis);
  }

  private static RequestId requestId(HttpFields fields) {
    String given = fields.get(MeshHeaders.REQUEST_ID);
    if (given == null) {
      given = fields.get(MeshHeaders.IDEMPOTENCY_KEY);
    }
    return new RequestId(given == null ? newId() : given);
  }

  private static String newId() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
  }

  private static String fieldValue(Request request, String name) {
    return request.getHeaders().get(name);
  }
}
