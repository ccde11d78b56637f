package io.hemlockbend.node.admission;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.retry.ResponseHeaders;
import io.hemlockbend.core.routing.RoutingRefusal;
import io.hemlockbend.node.forward.AnswerWriter;
import io.hemlockbend.node.forward.BodyReader;
import io.hemlockbend.node.forward.Call;
import io.hemlockbend.node.forward.CallBody;
import io.hemlockbend.node.forward.ErrorAnswers;
import io.hemlockbend.node.forward.MeshHeaders;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Receives the requests that entries route to this node's upstream. */
public final class MeshHandler extends Handler.Abstract.NonBlocking {
  private final AdmissionService service;
  private final Clock clock;
  private final int bufferBytes;

  /**
   * Creates the handler.
   *
   * @param service admits and runs the requests
   * @param clock the time source
   * @param bufferBytes largest body that is buffered, in bytes
   */
  public MeshHandler(AdmissionService service, Clock clock, int bufferBytes) {
    this.service = service;
    this.clock = clock;
    this.bufferBytes = bufferBytes;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    Call head;
    try {
      head = head(request);
    } catch (IllegalArgumentException malformed) {
      AnswerWriter.write(ErrorAnswers.refused(RoutingRefusal.BAD_REQUEST), response, callback);
      return true;
    }
    BodyReader.read(request, bufferBytes)
        .thenCompose(body -> service.admit(head.withBody(body)))
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                callback.failed(failure);
                return;
              }
              response.getHeaders().put(MeshHeaders.VERSION, head.version().toString());
              response.getHeaders().put(MeshHeaders.UPSTREAM, head.upstream().value());
              AnswerWriter.write(answer, response, callback);
            });
    return true;
  }

  private Call head(Request request) {
    HttpFields fields = request.getHeaders();
    return new Call(
        request.getMethod(),
        request.getHttpURI().getPathQuery(),
        fields,
        CallBody.Buffered.NONE,
        new RequestId(fields.get(MeshHeaders.REQUEST_ID)),
        Optional.ofNullable(fields.get(MeshHeaders.IDEMPOTENCY_KEY)).map(IdempotencyKey::new),
        new RouteName(fields.get(MeshHeaders.ROUTE)),
        version(fields.get(MeshHeaders.VERSION)),
        new UpstreamId(fields.get(MeshHeaders.UPSTREAM)),
        priority(fields.get(MeshHeaders.PRIORITY)),
        clock.millis() + fields.getLongField(MeshHeaders.DEADLINE_MILLIS),
        fields.contains(ResponseHeaders.SUSPECT));
  }

  private static VersionKey version(String text) {
    int slash = text == null ? -1 : text.indexOf('/');
    if (slash < 0) {
      throw new IllegalArgumentException("version must be service/version, got " + text);
    }
    return new VersionKey(
        new ServiceName(text.substring(0, slash)), new VersionName(text.substring(slash + 1)));
  }

  private static Priority priority(String text) {
    return text == null ? Priority.NORMAL : Priority.valueOf(text);
  }
}
