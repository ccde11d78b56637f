package io.hemlockbend.proxy.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpField;

/**
 * A whole answer.
 *
 * @param status the status
 * @param fields the header fields that concern more than one connection
 * @param body the body, maybe empty; not copied
 * @param keepAliveSeconds how long the sender keeps the connection idle; 0 when it does not say
 */
public record HttpReply(int status, List<HttpField> fields, byte[] body, long keepAliveSeconds) {
  /** Makes an answer whose sender says nothing of the connection. */
  public HttpReply(int status, List<HttpField> fields, byte[] body) {
    this(status, fields, body, 0);
  }

  /** Returns an answer of plain text. */
  public static HttpReply text(int status, String text, HttpField... fields) {
    return new HttpReply(status, List.of(fields), text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the value of a field by its name in any case, or null. */
  public String field(String name) {
    return HttpMessages.value(fields, name);
  }
}
