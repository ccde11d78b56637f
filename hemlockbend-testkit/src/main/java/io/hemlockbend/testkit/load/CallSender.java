package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.codec.trace.CallKind;
import io.hemlockbend.codec.trace.CallOutcome;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.testkit.http.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;

/** Sends calls and makes a record of each. */
final class CallSender {
  private static final long LATE_ANSWER_MILLIS = 500;
  private static final int MAX_ANSWER_BYTES = 32 * 1024 * 1024;

  private final HttpClient client;
  private final LoadPlan plan;
  private final Clock clock;
  private final AnswerChecker checker;

  CallSender(HttpClient client, LoadPlan plan, Clock clock) {
    this.client = client;
    this.plan = plan;
    this.clock = clock;
    checker = new AnswerChecker(plan.photoBytes());
  }

  /**
   * Sends a call.
   *
   * @param call the call
   * @param dueMillis when it was due, milliseconds since the epoch
   * @return its record, once it has ended; never fails
   */
  CompletableFuture<TraceRecord.Call> send(PlannedCall call, long dueMillis) {
    AtomicReference<Response> begun = new AtomicReference<>();
    Request request = request(call).onResponseHeaders(begun::set);
    return new CompletableResponseListener(request, MAX_ANSWER_BYTES)
        .send()
        .handle(
            (response, failure) ->
                failure == null
                    ? record(call, dueMillis, response, checker.check(call, response))
                    : record(
                        call,
                        dueMillis,
                        begun.get(),
                        AnswerChecker.ofFailure(failure, begun.get() != null)));
  }

  private Request request(PlannedCall call) {
    Request request =
        client
            .newRequest(call.entry().resolve(path(call)))
            .followRedirects(false)
            .timeout(plan.timeoutMillis() + LATE_ANSWER_MILLIS, TimeUnit.MILLISECONDS)
            .headers(
                headers ->
                    headers
                        .put(Headers.REQUEST_ID, call.request().value())
                        .put(Headers.DEADLINE_MILLIS, Long.toString(plan.timeoutMillis())));
    call.key()
        .ifPresent(
            key ->
                request
                    .method(HttpMethod.POST)
                    .headers(headers -> headers.put(Headers.IDEMPOTENCY_KEY, key.value()))
                    .body(body(call)));
    return request;
  }

  private String path(PlannedCall call) {
    return call.kind() == CallKind.PHOTO
        ? call.path() + "/photo?bytes=" + plan.photoBytes() + "&seed=" + call.photoSeed()
        : call.path();
  }

  private static BytesRequestContent body(PlannedCall call) {
    return new BytesRequestContent(
        "text/plain", call.request().value().getBytes(StandardCharsets.UTF_8));
  }

  private TraceRecord.Call record(
      PlannedCall call, long dueMillis, Response response, AnswerState answer) {
    HttpFields headers = response == null ? HttpFields.EMPTY : response.getHeaders();
    return new TraceRecord.Call(
        dueMillis,
        clock.millis(),
        call.request(),
        call.kind(),
        call.path(),
        call.key(),
        response == null ? 0 : response.getStatus(),
        answer,
        header(headers, Headers.OUTCOME).flatMap(CallOutcome::ofHeader),
        header(headers, Headers.VERSION)
            .or(() -> header(headers, Headers.ANSWERED_VERSION))
            .map(CallSender::afterService)
            .map(VersionName::new),
        header(headers, Headers.UPSTREAM)
            .or(() -> header(headers, Headers.ANSWERED_UPSTREAM))
            .map(UpstreamId::new));
  }

  /** Returns the version of a text that may be of the form service/version. */
  private static String afterService(String version) {
    return version.substring(version.indexOf('/') + 1);
  }

  private static Optional<String> header(HttpFields headers, String name) {
    return Optional.ofNullable(headers.get(name));
  }
}
