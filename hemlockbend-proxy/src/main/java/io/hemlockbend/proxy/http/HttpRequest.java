package io.hemlockbend.proxy.http;

import java.util.List;
import org.eclipse.jetty.http.HttpField;

/**
 * A whole request.
 *
 * @param method the method
 * @param target the request target as it was sent
 * @param fields the header fields in their order
 * @param body the body, maybe empty; not copied
 */
public record HttpRequest(String method, String target, List<HttpField> fields, byte[] body) {
  /** Returns the value of a field by its name in any case, or null. */
  public String field(String name) {
    return HttpMessages.value(fields, name);
  }

  /** Returns the path, without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
