package io.hemlockbend.node.local;

import io.hemlockbend.codec.AnnouncementBody;
import io.hemlockbend.codec.CodecException;
import io.hemlockbend.codec.JsonCodec;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/** Receives the announcements of the upstream beside this node, {@code POST /v1/announce}. */
public final class AnnounceHandler extends Handler.Abstract.NonBlocking {
  private static final String PATH = "/v1/announce";
  private static final int MAX_BODY_BYTES = 4_096;

  private final JsonCodec codec;
  private final Consumer<AnnouncementBody> announcements;

  /**
   * Creates the handler.
   *
   * @param codec decodes the body
   * @param announcements receives each valid announcement
   */
  public AnnounceHandler(JsonCodec codec, Consumer<AnnouncementBody> announcements) {
    this.codec = codec;
    this.announcements = announcements;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    if (!request.getHttpURI().getCanonicalPath().equals(PATH)) {
      return false;
    }
    if (!request.getMethod().equals("POST")) {
      Response.writeError(request, response, callback, HttpStatus.METHOD_NOT_ALLOWED_405);
      return true;
    }
    if (request.getLength() < 0 || request.getLength() > MAX_BODY_BYTES) {
      Response.writeError(request, response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413);
      return true;
    }
    Promise.Completable<ByteBuffer> body = new Promise.Completable<>();
    Content.Source.asByteBuffer(request, body);
    body.whenComplete(
        (bytes, failure) -> {
          if (failure != null) {
            callback.failed(failure);
            return;
          }
          acceptAnnouncement(BufferUtil.toArray(bytes), request, response, callback);
        });
    return true;
  }

  private void acceptAnnouncement(
      byte[] body, Request request, Response response, Callback callback) {
    try {
      announcements.accept(codec.decode(body, AnnouncementBody.class));
      response.setStatus(HttpStatus.NO_CONTENT_204);
      callback.succeeded();
    } catch (CodecException e) {
      Response.writeError(request, response, callback, HttpStatus.BAD_REQUEST_400, e.getMessage());
    }
  }
}
