package io.hemlockbend.testkit.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/** A request and its response, with blocking calls; used by one thread. */
public final class Exchange {
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final String JSON_TYPE = "application/json";

  private final Request request;
  private final Response response;

  Exchange(Request request, Response response) {
    this.request = request;
    this.response = response;
  }

  /** Returns method and path, such as {@code GET /table/row}. */
  public String target() {
    return request.getMethod() + " " + path();
  }

  public String path() {
    return Request.getPathInContext(request);
  }

  /** Returns a decoded query parameter, or empty when it is absent. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(Request.extractQueryParameters(request).getValue(name));
  }

  /** Returns a request header, or empty when it is absent. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeaders().get(name));
  }

  /** Returns when the connection was opened, milliseconds since the epoch. */
  public long connectedAtMillis() {
    return request.getConnectionMetaData().getConnection().getCreatedTimeStamp();
  }

  /**
   * Reads the whole body.
   *
   * @throws IOException when the body is truncated or longer than 16 MiB
   */
  public byte[] body() throws IOException {
    try (InputStream in = Content.Source.asInputStream(request)) {
      byte[] body = in.readNBytes(MAX_BODY_BYTES + 1);
      if (body.length > MAX_BODY_BYTES) {
        throw new IOException("request body exceeds " + MAX_BODY_BYTES + " bytes");
      }
      return body;
    }
  }

  /** Sets a response header. */
  public void responseHeader(String name, String value) {
    response.getHeaders().put(name, value);
  }

  /** Sends a complete response without a body. */
  public void reply(int status) throws IOException {
    reply(status, new byte[0]);
  }

  /** Sends a complete JSON response. */
  public void reply(int status, byte[] json) throws IOException {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON_TYPE);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, json.length);
    Content.Sink.write(response, true, ByteBuffer.wrap(json));
  }

  /** Starts a response of a given length and returns the stream for its body. */
  public OutputStream stream(int status, long lengthBytes) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, lengthBytes);
    return Content.Sink.asOutputStream(response);
  }

  /** Closes the connection, before or during the response. */
  public void abort() {
    request.getConnectionMetaData().getConnection().getEndPoint().close();
  }
}
