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

/** Sends calls and creates a trace record of each. */
final class CallSender {
  private static final long LATE_ANSWER_GRACE_MILLIS = 500;
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
   * @return the record of the ended call; never completes exceptionally
   */
  CompletableFuture<TraceRecord.Call> send(PlannedCall call, long dueMillis) {
    AtomicReference<Response> startedResponse = new AtomicReference<>();
    Request request = request(call).onResponseBegin(startedResponse::set);
    return new CompletableResponseListener(request, MAX_ANSWER_BYTES)
        .send()
        .handle(
            (response, failure) ->
                failure == null
                    ? record(call, dueMillis, response, checker.check(call, response))
                    : record(
                        call,
                        dueMillis,
                        startedResponse.get(),
                        AnswerChecker.classifyFailure(failure, startedResponse.get() != null)));
  }

  private Request request(PlannedCall call) {
    Request request =
        client
            .newRequest(call.entry().resolve(path(call)))
            .followRedirects(false)
            .timeout(plan.timeoutMillis() + LATE_ANSWER_GRACE_MILLIS, TimeUnit.MILLISECONDS)
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
            .map(CallSender::withoutService)
            .map(VersionName::new),
        header(headers, Headers.UPSTREAM)
            .or(() -> header(headers, Headers.ANSWERED_UPSTREAM))
            .map(UpstreamId::new));
  }

  /** Returns the version name from a text of the form version or service/version. */
  private static String withoutService(String version) {
    return version.substring(version.indexOf('/') + 1);
  }

  private static Optional<String> header(HttpFields headers, String name) {
    return Optional.ofNullable(headers.get(name));
  }
}
