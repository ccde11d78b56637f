package io.hemlockbend.node.forward;

import io.hemlockbend.core.retry.ResponseHeaders;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes an answer to the caller or to the entry. If a streamed answer breaks, the callback fails
 * and the server aborts the connection, so that a truncated body never looks complete.
 */
public final class AnswerWriter {
  private static final String NODE_ERROR_BODY = "{\"outcome\":\"%s\",\"reason\":\"%s\"}\n";

  private AnswerWriter() {}

  /**
   * Writes the answer.
   *
   * @param answer the answer
   * @param response the response to write to
   * @param callback completed when the answer is written
   */
  public static void write(Answer answer, Response response, Callback callback) {
    switch (answer) {
      case Answer.Buffered buffered -> writeBuffered(buffered, response, callback);
      case Answer.Streamed streamed -> writeStreamed(streamed, response, callback);
      case Answer.Failed failed ->
          writeNodeError(AttemptEndCodec.encode(failed.end()), response, callback);
      case Answer.NodeError error -> writeNodeError(error, response, callback);
    }
  }

  private static void writeBuffered(Answer.Buffered answer, Response response, Callback callback) {
    response.setStatus(answer.status());
    copyFields(answer.fields(), response);
    if (!answersHead(response)) {
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.body().length);
    }
    response.write(true, ByteBuffer.wrap(answer.body()), callback);
  }

  private static boolean answersHead(Response response) {
    return response.getRequest().getMethod().equals("HEAD");
  }

  private static void writeStreamed(
      Answer.Streamed streamed, Response response, Callback callback) {
    response.setStatus(streamed.status());
    copyFields(streamed.fields(), response);
    Callback copyRest =
        Callback.from(
            () -> Content.copy(streamed.rest(), response, callback),
            failure -> {
              streamed.rest().fail(failure);
              callback.failed(failure);
            });
    response.write(false, ByteBuffer.wrap(streamed.start()), copyRest);
  }

  private static void copyFields(HttpFields fields, Response response) {
    for (HttpField field : fields) {
      if (!MeshHeaders.hopByHop(field)) {
        response.getHeaders().add(field);
      }
    }
  }

  private static void writeNodeError(Answer.NodeError error, Response response, Callback callback) {
    response.setStatus(error.status());
    response.getHeaders().put(ResponseHeaders.OUTCOME, error.outcome().outcomeToken());
    response.getHeaders().put(ResponseHeaders.REASON, error.reason());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    byte[] bytes =
        NODE_ERROR_BODY
            .formatted(error.outcome().outcomeToken(), error.reason())
            .getBytes(StandardCharsets.UTF_8);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
    response.write(true, ByteBuffer.wrap(bytes), callback);
  }
}
