package io.hemlockbend.node.forward;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Reads an answer until it is whole or too large to be held, so that a small answer that breaks is
 * known as broken before its first byte goes on.
 */
final class AnswerReader implements Runnable {
  private final Response response;
  private final Content.Source source;
  private final int limitBytes;
  private final CompletableFuture<Answer> answer;
  private final ByteArrayOutputStream start = new ByteArrayOutputStream();

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
        answer.complete(new Answer.Whole(response.getStatus(), fields(), start.toByteArray()));
        return;
      }
      if (start.size() > limitBytes) {
        stream();
        return;
      }
    }
  }

  private void append(Content.Chunk chunk) {
    byte[] bytes = BufferUtil.toArray(chunk.getByteBuffer());
    start.write(bytes, 0, bytes.length);
    chunk.release();
  }

  private void stream() {
    answer.complete(
        new Answer.Streamed(response.getStatus(), fields(), start.toByteArray(), source));
  }

  private HttpFields fields() {
    return response.getHeaders();
  }
}
