package io.hemlockbend.node.forward;

import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.core.retry.ResponseHeaders;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentSourceRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Sends a request over one hop. A failure before the first byte was sent counts as "not run", any
 * later one as "may have run". A request that times out closes its connection, so that a late
 * answer cannot be taken for the answer to another request.
 */
public final class Forwarder {
  private final HttpClient client;
  private final int bufferBytes;

  /**
   * Creates a forwarder.
   *
   * @param client the HTTP client, already started
   * @param bufferBytes largest answer that is buffered, in bytes
   */
  public Forwarder(HttpClient client, int bufferBytes) {
    this.client = client;
    this.bufferBytes = bufferBytes;
  }

  /**
   * Sends the request.
   *
   * @param call the request
   * @param hop the next hop and its time-outs
   * @return the result; never completes exceptionally
   */
  public CompletableFuture<Answer> send(Call call, Hop hop) {
    AtomicBoolean sent = new AtomicBoolean();
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    Request request = request(call, hop);
    request.onRequestBegin(begun -> sent.set(true));
    Scheduler.Task timer = firstByteTimer(request, hop);
    request.onResponseBegin(response -> timer.cancel());
    request.onResponseContentSource((response, source) -> read(call, response, source, answer));
    request.send(result -> complete(result, timer, answer));
    return answer.handle((value, failure) -> toAnswer(value, failure, sent.get(), hop));
  }

  private Request request(Call call, Hop hop) {
    Request request =
        client
            .newRequest(hop.to().host(), hop.to().port())
            .method(call.method())
            .path(call.target())
            .followRedirects(false)
            .idleTimeout(hop.totalMillis(), TimeUnit.MILLISECONDS)
            .timeout(hop.totalMillis(), TimeUnit.MILLISECONDS);
    request.headers(fields -> fields.add(MeshHeaders.forwardable(call.fields())));
    request.headers(fields -> addMeshFields(fields, call, hop));
    switch (call.body()) {
      case CallBody.Buffered buffered when buffered.bytes().length == 0 -> {
        // No content: neither body nor Content-Length.
      }
      case CallBody.Buffered buffered ->
          request.body(new BytesRequestContent(contentType(call), buffered.bytes()));
      case CallBody.Streamed streamed ->
          request.body(new ContentSourceRequestContent(streamed.source(), contentType(call)));
    }
    return request;
  }

  private static String contentType(Call call) {
    String type = call.fields().get(HttpHeader.CONTENT_TYPE);
    return type == null ? "application/octet-stream" : type;
  }

  private static void addMeshFields(HttpFields.Mutable fields, Call call, Hop hop) {
    fields.remove(HttpHeader.CONTENT_LENGTH);
    fields.put(MeshHeaders.REQUEST_ID, call.request().value());
    fields.put(MeshHeaders.DEADLINE_MILLIS, Long.toString(hop.totalMillis()));
    if (!hop.internal()) {
      return;
    }
    fields.put(MeshHeaders.ROUTE, call.route().value());
    fields.put(MeshHeaders.VERSION, call.version().toString());
    fields.put(MeshHeaders.UPSTREAM, call.upstream().value());
    fields.put(MeshHeaders.PRIORITY, call.priority().name());
    if (call.suspect()) {
      fields.put(ResponseHeaders.SUSPECT, Boolean.TRUE.toString());
    }
  }

  private Scheduler.Task firstByteTimer(Request request, Hop hop) {
    long millis = Math.min(hop.firstByteMillis(), hop.totalMillis());
    return client
        .getScheduler()
        .schedule(
            () ->
                request.abort(
                    new TimeoutException("no first byte of the answer within " + millis + " ms")),
            millis,
            TimeUnit.MILLISECONDS);
  }

  private void read(
      Call call, Response response, Content.Source source, CompletableFuture<Answer> answer) {
    if (!delimited(call, response)) {
      reject(new UndelimitedAnswerException(), source, answer);
      return;
    }
    String answeredId = response.getHeaders().get(MeshHeaders.REQUEST_ID);
    if (answeredId != null && !answeredId.equals(call.request().value())) {
      reject(new CrossedAnswerException(call.request().value(), answeredId), source, answer);
      return;
    }
    new AnswerReader(response, source, bufferBytes, answer).run();
  }

  /** Fails the request and closes its connection, whose next answer would be off as well. */
  private static void reject(
      IOException failure, Content.Source source, CompletableFuture<Answer> answer) {
    answer.completeExceptionally(failure);
    source.fail(failure);
  }

  private static boolean delimited(Call call, Response response) {
    HttpFields fields = response.getHeaders();
    return fields.contains(HttpHeader.CONTENT_LENGTH)
        || fields.contains(HttpHeader.TRANSFER_ENCODING)
        || call.method().equals("HEAD");
  }

  private static void complete(
      Result result, Scheduler.Task timer, CompletableFuture<Answer> answer) {
    timer.cancel();
    if (result.isFailed()) {
      answer.completeExceptionally(result.getFailure());
      return;
    }
    Response response = result.getResponse();
    answer.complete(new Answer.Buffered(response.getStatus(), response.getHeaders(), new byte[0]));
  }

  private static Answer toAnswer(Answer answer, Throwable failure, boolean sent, Hop hop) {
    if (failure != null) {
      return failed(failure, sent);
    }
    return switch (answer) {
      case Answer.Buffered buffered when hop.internal() -> fromNode(buffered);
      case Answer.Buffered buffered ->
          new Answer.Buffered(
              buffered.status(), MeshHeaders.forwardable(buffered.fields()), buffered.body());
      case Answer.Streamed streamed ->
          new Answer.Streamed(
              streamed.status(),
              hop.internal() ? streamed.fields() : MeshHeaders.forwardable(streamed.fields()),
              streamed.start(),
              streamed.rest());
      case Answer.Failed failed -> failed;
      case Answer.NodeError error -> error;
    };
  }

  private static Answer failed(Throwable failure, boolean sent) {
    if (!sent) {
      return new Answer.Failed(new AttemptEnd.NotConnected());
    }
    if (failure instanceof TimeoutException) {
      return new Answer.Failed(new AttemptEnd.TimedOut());
    }
    return new Answer.Failed(new AttemptEnd.Broken(false));
  }

  private static Answer fromNode(Answer.Buffered answer) {
    String outcome = answer.fields().get(ResponseHeaders.OUTCOME);
    if (outcome == null) {
      return answer;
    }
    return AttemptEndCodec.decode(
        outcome, answer.status(), answer.fields().get(ResponseHeaders.REASON));
  }
}
