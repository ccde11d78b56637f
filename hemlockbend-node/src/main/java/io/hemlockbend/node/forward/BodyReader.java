package io.hemlockbend.node.forward;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Promise;

/** Takes a request's body: held whole when it is small, else as a stream that can be sent once. */
public final class BodyReader {

  private BodyReader() {}

  /**
   * Reads a small body, or hands on a large one or one of unknown length.
   *
   * @param request the request
   * @param limitBytes largest body that is held
   */
  public static CompletableFuture<CallBody> read(Request request, int limitBytes) {
    long length = request.getLength();
    boolean chunked = request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    if (length <= 0 && !chunked) {
      return CompletableFuture.completedFuture(CallBody.Held.NONE);
    }
    if (length > limitBytes || chunked) {
      return CompletableFuture.completedFuture(new CallBody.Streamed(request, length));
    }
    Promise.Completable<ByteBuffer> whole = new Promise.Completable<>();
    Content.Source.asByteBuffer(request, whole);
    return whole.thenApply(bytes -> new CallBody.Held(BufferUtil.toArray(bytes)));
  }
}
