package io.hemlockbend.proxy.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpField;

/**
 * A complete answer.
 *
 * @param status the status
 * @param fields the end-to-end header fields
 * @param body the body, possibly empty; not copied
 * @param keepAliveSeconds the {@code Keep-Alive} timeout of the sender; 0 if not stated
 */
public record HttpReply(int status, List<HttpField> fields, byte[] body, long keepAliveSeconds) {
  /** Creates an answer without a {@code Keep-Alive} timeout. */
  public HttpReply(int status, List<HttpField> fields, byte[] body) {
    this(status, fields, body, 0);
  }

  /** Returns an answer with a UTF-8 text as its body. */
  public static HttpReply text(int status, String text, HttpField... fields) {
    return new HttpReply(status, List.of(fields), text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the first value of a field, or null; ignores the case of the name. */
  public String field(String name) {
    return HttpMessages.value(fields, name);
  }
}
