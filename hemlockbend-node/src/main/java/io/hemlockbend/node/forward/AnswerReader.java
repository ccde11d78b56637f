package io.hemlockbend.node.forward;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Reads an answer until it is complete or exceeds the buffer limit, so that a connection that
 * breaks during a small answer is detected before its first byte is forwarded.
 */
final class AnswerReader implements Runnable {
  private final Response response;
  private final Content.Source source;
  private final int limitBytes;
  private final CompletableFuture<Answer> answer;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

  AnswerReader(
      Response response, Content.Source source, int limitBytes, CompletableFuture<Answer> answer) {
    this.response = response;
    this.source = source;
    this.limitBytes = limitBytes;
    this.answer = answer;
  }

  @Override
  public void run() {
    if (response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > limitBytes) {
      stream();
      return;
    }
    while (true) {
      Content.Chunk chunk = source.read();
      if (chunk == null) {
        source.demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        answer.completeExceptionally(chunk.getFailure());
        return;
      }
      append(chunk);
      if (chunk.isLast()) {
        answer.complete(new Answer.Buffered(response.getStatus(), fields(), buffer.toByteArray()));
        return;
      }
      if (buffer.size() > limitBytes) {
        stream();
        return;
      }
    }
  }

  private void append(Content.Chunk chunk) {
    byte[] bytes = BufferUtil.toArray(chunk.getByteBuffer());
    buffer.write(bytes, 0, bytes.length);
    chunk.release();
  }

  private void stream() {
    answer.complete(
        new Answer.Streamed(response.getStatus(), fields(), buffer.toByteArray(), source));
  }

  private HttpFields fields() {
    return response.getHeaders();
  }
}
