package io.hemlockbend.proxy.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;

/** Builds the heads of HTTP messages and identifies hop-by-hop header fields. */
public final class HttpMessages {
  private static final Set<String> HOP_BY_HOP_FIELDS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");
  private static final int INITIAL_HEAD_BYTES = 512;
  private static final int FIRST_BODY_STATUS = 200;

  private HttpMessages() {}

  /** Returns the first value of a field, or null; ignores the case of the name. */
  public static String value(List<HttpField> fields, String name) {
    for (HttpField field : fields) {
      if (field.getName().equalsIgnoreCase(name)) {
        return field.getValue();
      }
    }
    return null;
  }

  /**
   * Returns whether a field is hop-by-hop, so that it is not forwarded.
   *
   * @param field the field
   * @param connectionValue the value of the {@code Connection} field of its message, or null
   */
  public static boolean hopByHop(HttpField field, String connectionValue) {
    String name = field.getName().toLowerCase(Locale.ROOT);
    if (HOP_BY_HOP_FIELDS.contains(name)) {
      return true;
    }
    if (connectionValue == null) {
      return false;
    }
    for (String option : connectionValue.split(",")) {
      if (option.trim().equalsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the head of a request, with its content length if it has or may have a body. */
  public static ByteBuffer requestHead(HttpRequest request) {
    StringBuilder head = new StringBuilder(INITIAL_HEAD_BYTES);
    head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1\r\n");
    append(head, request.fields());
    boolean mayHaveBody = !"GET".equals(request.method()) && !"HEAD".equals(request.method());
    if (request.body().length > 0 || mayHaveBody) {
      head.append("Content-Length: ").append(request.body().length).append("\r\n");
    }
    return bytes(head);
  }

  /**
   * Returns the head of an answer.
   *
   * @param reply the answer
   * @param close whether the connection is closed after the answer
   */
  public static ByteBuffer replyHead(HttpReply reply, boolean close) {
    StringBuilder head = new StringBuilder(INITIAL_HEAD_BYTES);
    head.append("HTTP/1.1 ").append(reply.status()).append(' ');
    head.append(reasonPhrase(reply.status())).append("\r\n");
    append(head, reply.fields());
    if (bodyAllowed(reply.status())) {
      head.append("Content-Length: ").append(reply.body().length).append("\r\n");
    }
    if (close) {
      head.append("Connection: close\r\n");
    }
    return bytes(head);
  }

  /** Returns whether an answer of this status may have a body. */
  public static boolean bodyAllowed(int status) {
    return status >= FIRST_BODY_STATUS
        && status != HttpStatus.NO_CONTENT_204
        && status != HttpStatus.NOT_MODIFIED_304;
  }

  private static String reasonPhrase(int status) {
    String message = HttpStatus.getMessage(status);
    return message == null ? "" : message;
  }

  private static void append(StringBuilder head, List<HttpField> fields) {
    for (HttpField field : fields) {
      head.append(field.getName()).append(": ");
      if (field.getValue() != null) {
        head.append(field.getValue());
      }
      head.append("\r\n");
    }
  }

  private static ByteBuffer bytes(StringBuilder head) {
    head.append("\r\n");
    return ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
  }
}
