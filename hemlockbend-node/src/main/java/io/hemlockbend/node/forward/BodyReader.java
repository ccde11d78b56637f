package io.hemlockbend.node.forward;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Promise;

/** Reads a request's body: buffered when it is small, else as a stream that can be sent once. */
public final class BodyReader {

  private BodyReader() {}

  /**
   * Buffers a small body; returns a stream for a large body or one of unknown length.
   *
   * @param request the request
   * @param limitBytes largest body that is buffered, in bytes
   */
  public static CompletableFuture<CallBody> read(Request request, int limitBytes) {
    long length = request.getLength();
    boolean chunked = request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    if (length <= 0 && !chunked) {
      return CompletableFuture.completedFuture(CallBody.Buffered.NONE);
    }
    if (length > limitBytes || chunked) {
      return CompletableFuture.completedFuture(new CallBody.Streamed(request, length));
    }
    Promise.Completable<ByteBuffer> content = new Promise.Completable<>();
    Content.Source.asByteBuffer(request, content);
    return content.thenApply(bytes -> new CallBody.Buffered(BufferUtil.toArray(bytes)));
  }
}
