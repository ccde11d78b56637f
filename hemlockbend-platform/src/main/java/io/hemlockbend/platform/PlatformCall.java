package io.hemlockbend.platform;

import io.hemlockbend.codec.CodecException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;

/**
 * One call of the platform, with the mapping of its failures to exceptions. A read always fails
 * with {@link PlatformException.NotApplied}. So does a write when no byte of it was sent, or when
 * the service answered with a status that it gives before any effect; every other failure of a
 * write is {@link PlatformException.Unknown}.
 */
final class PlatformCall {
  private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
  private static final Set<Integer> REFUSED_BEFORE_EFFECT =
      Set.of(
          HttpStatus.BAD_REQUEST_400,
          HttpStatus.FORBIDDEN_403,
          HttpStatus.NOT_FOUND_404,
          HttpStatus.PAYLOAD_TOO_LARGE_413,
          HttpStatus.TOO_MANY_REQUESTS_429);

  private final Request request;
  private final Effect effect;
  private final AtomicBoolean sendBegun = new AtomicBoolean();

  /** Whether a call changes data of the platform. */
  enum Effect {
    /** Changes no data. */
    READ,
    /** May change data. */
    WRITE
  }

  PlatformCall(Request request, PlatformSettings settings, Effect effect) {
    this.request =
        request
            .followRedirects(false)
            .timeout(settings.timeoutMillis(), TimeUnit.MILLISECONDS)
            .onRequestBegin(ignored -> sendBegun.set(true));
    this.effect = effect;
  }

  /**
   * Sends the request.
   *
   * @param read converts an answer to the result; may throw {@link PlatformException} or {@link
   *     CodecException}
   */
  <T> CompletableFuture<T> send(Function<ContentResponse, T> read) {
    CompletableFuture<T> result = new CompletableFuture<>();
    new CompletableResponseListener(request, MAX_ANSWER_BYTES)
        .send()
        .whenComplete((response, failure) -> complete(result, response, failure, read));
    return result;
  }

  /** Returns the exception for an answer with an unexpected status. */
  PlatformException unexpected(ContentResponse response) {
    String message = describe() + " was answered with status " + response.getStatus();
    return REFUSED_BEFORE_EFFECT.contains(response.getStatus())
        ? new PlatformException.NotApplied(message, null)
        : failed(message, null);
  }

  private <T> void complete(
      CompletableFuture<T> result,
      ContentResponse response,
      Throwable failure,
      Function<ContentResponse, T> read) {
    if (failure != null) {
      result.completeExceptionally(failed(describe() + " failed: " + failure, failure));
      return;
    }
    try {
      result.complete(read.apply(response));
    } catch (PlatformException e) {
      result.completeExceptionally(e);
    } catch (CodecException e) {
      result.completeExceptionally(failed(describe() + " got a malformed answer", e));
    }
  }

  private PlatformException failed(String message, Throwable cause) {
    boolean mayHaveApplied = effect == Effect.WRITE && sendBegun.get();
    return mayHaveApplied
        ? new PlatformException.Unknown(message, cause)
        : new PlatformException.NotApplied(message, cause);
  }

  private String describe() {
    return request.getMethod() + " " + request.getPath();
  }
}
