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
 * Writes an answer to whoever asked. A streamed answer that breaks fails the callback, on which the
 * server aborts the connection: never a short body that looks whole.
 */
public final class AnswerWriter {
  private static final String TOLD_BODY = "{\"outcome\":\"%s\",\"reason\":\"%s\"}\n";

  private AnswerWriter() {}

  /**
   * Writes the answer.
   *
   * @param answer the answer
   * @param response where it goes
   * @param callback completed when it is written
   */
  public static void write(Answer answer, Response response, Callback callback) {
    switch (answer) {
      case Answer.Whole whole -> writeWhole(whole, response, callback);
      case Answer.Streamed streamed -> writeStreamed(streamed, response, callback);
      case Answer.Ended ended -> writeTold(EndWords.told(ended.end()), response, callback);
      case Answer.Told told -> writeTold(told, response, callback);
    }
  }

  private static void writeWhole(Answer.Whole whole, Response response, Callback callback) {
    response.setStatus(whole.status());
    copyFields(whole.fields(), response);
    if (!headAnswer(response)) {
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, whole.body().length);
    }
    response.write(true, ByteBuffer.wrap(whole.body()), callback);
  }

  private static boolean headAnswer(Response response) {
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

  private static void writeTold(Answer.Told told, Response response, Callback callback) {
    response.setStatus(told.status());
    response.getHeaders().put(ResponseHeaders.OUTCOME, told.word().word());
    response.getHeaders().put(ResponseHeaders.REASON, told.reason());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    byte[] bytes =
        TOLD_BODY.formatted(told.word().word(), told.reason()).getBytes(StandardCharsets.UTF_8);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
    response.write(true, ByteBuffer.wrap(bytes), callback);
  }
}
